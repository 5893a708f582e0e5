/**
 * The demo: both example deployments, one after the other, as processes on
 * loopback. Exits 0 only if every answer was right.
 */
import process from 'node:process';
import {startDeployment} from '../deployment/deployment.js';
import type {Deployment} from '../deployment/deployment.js';
import {until} from '../deployment/until.js';
import {createChecks} from './checks.js';
import type {Checks} from './checks.js';
import {tryAgency} from './agency.js';
import {tryBadInput} from './bad-input.js';
import {tryQurm} from './qurm.js';

/** Milliseconds that a piece of the stand-ins' work takes. */
const work = 5;
const startLimit = 60_000;

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
    await setUp(deployment, folder, checks);
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

async function setUp(
  deployment: Deployment,
  folder: string,
  checks: Checks,
): Promise<void> {
  await until('the control group has a leader', startLimit, async () => {
    const {code} = await deployment.operate('history');
    return code === 0;
  });
  const file = `"${process.cwd()}/${folder}/setup.fox"`;
  const applied = await deployment.operate('apply', file);
  checks.check('the set-up was accepted', applied.code === 0, applied.errors);
  const version = /version (\d+)/.exec(applied.output)?.[1] ?? '0';
  const waited = await deployment.operate('wait', version, 'within', '30s');
  checks.check(
    `version ${version} is in force everywhere`,
    waited.code === 0,
    waited.errors,
  );
  await until('each service has its keepers', startLimit, () =>
    haveKeepers(deployment),
  );
}

/** Keyed work is taken once the leader has appointed who keeps the claims. */
async function haveKeepers(deployment: Deployment): Promise<boolean> {
  const services = new Set(deployment.places.map(({service}) => service));
  const {output} = await deployment.operate('--json', 'show', 'services');
  return output.split('"keepers"').length > services.size;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
