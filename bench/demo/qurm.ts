/** Demo of the qurm deployment: storekeepers and fitters. */
import type {Deployment} from '../deployment/deployment.js';
import type {Checks} from './checks.js';
import {tryLookups, tryOnce, tryUpload} from './shared-checks.js';

/** Checks stock and catalogue lookups, a booking, and an upload. */
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
