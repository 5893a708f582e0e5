/** What storekeepers and fitters do. */
import type {Deployment} from '../deployment/deployment.js';
import type {Checks} from './checks.js';
import {tryLookups, tryOnce, tryUpload} from './shared-checks.js';

/** Runs lookups, a booking with its resend, catalogue pulls and an upload. */
export async function tryQurm(
  deployment: Deployment,
  checks: Checks,
): Promise<void> {
  await tryLookups(deployment, checks, 'stock lookups', '/stock/bogie-bearing');
  await tryLookups(deployment, checks, 'catalogue pulls', '/catalogue/coupler');
  await tryOnce(deployment, checks, {
    what: 'booking',
    service: 'stock-desk',
    path: '/bookings',
  });
  await tryUpload(deployment, checks, '/files/wheel-profile-7');
}
