/**
 * Demo of the agency deployment: schedulers, training centres and ramp
 * supervisors.
 */
import type {Deployment} from '../deployment/deployment.js';
import type {Checks} from './checks.js';
import {tryLookups, tryOnce, tryUpload} from './shared-checks.js';

/**
 * Checks lookups, gate checks, the issuance of a certificate, and an upload.
 */
export async function tryAgency(
  deployment: Deployment,
  checks: Checks,
): Promise<void> {
  await tryLookups(deployment, checks, 'record lookups', '/records/crew-31');
  await tryLookups(deployment, checks, 'gate checks', '/gate-checks/crew-31');
  await tryLookups(deployment, checks, 'validity checks', '/validity/crew-31');
  await tryOnce(deployment, checks, {
    what: 'certificate issuance',
    service: 'crewbook',
    path: '/certificates',
  });
  await tryUpload(deployment, checks, '/videos/evacuation-drill-31');
}
