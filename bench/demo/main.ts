/**
 * The demo: both example deployments, one after the other, as processes on
 * loopback. Exits 0 only if every answer was right.
 */
import process from 'node:process';
import {startDeployment} from '../deployment/deployment.js';
import type {Deployment} from '../deployment/deployment.js';
import {setUp} from '../deployment/setup.js';
import {createChecks} from './checks.js';
import type {Checks} from './checks.js';
import {tryAgency} from './agency.js';
import {tryBadInput} from './bad-input.js';
import {tryQurm} from './qurm.js';

/** Milliseconds that a piece of the stand-ins' work takes. */
const work = 5;

const checks = createChecks();
await show('qurm', checks, tryQurm);
await show('agency', checks, tryAgency);
print(`${checks.passed} right, ${checks.failed} wrong`);
process.exitCode = checks.failed === 0 ? 0 : 1;

type Course = (deployment: Deployment, checks: Checks) => Promise<void>;

async function show(
  name: string,
  checks: Checks,
  course: Course,
): Promise<void> {
  print(`\n${name}: starting control processes, nodes and stand-ins`);
  const folder = `examples/${name}`;
  const deployment = await startDeployment({folder, work});
  try {
    await setUp(deployment, `${folder}/setup.fox`);
    checks.check('the set-up is in force everywhere', true);
    await course(deployment, checks);
    await tryBadInput(deployment, checks);
    const places = await deployment.operate('show', 'in', 'force');
    print(places.output);
  } catch (error) {
    checks.check(`${name} ran to its end`, false, (error as Error).message);
  }
  const failed = await deployment.stop();
  checks.check(
    'all processes stopped as planned',
    failed.length === 0,
    failed.join(', '),
  );
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
