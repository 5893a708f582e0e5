/**
 * Demo of both example deployments, one after the other, as processes on
 * loopback. Exits with 0 only if all checks passed.
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

/** Duration of a piece of the upstreams' work, in milliseconds. */
const work = 5;

const checks = createChecks();
await runDemo('qurm', checks, tryQurm);
await runDemo('agency', checks, tryAgency);
print(`${checks.passed} right, ${checks.failed} wrong`);
process.exitCode = checks.failed === 0 ? 0 : 1;

type DemoChecks = (deployment: Deployment, checks: Checks) => Promise<void>;

async function runDemo(
  name: string,
  checks: Checks,
  runChecks: DemoChecks,
): Promise<void> {
  print(`\n${name}: starting control processes, nodes and upstreams`);
  const folder = `examples/${name}`;
  const deployment = await startDeployment({folder, work});
  try {
    await setUp(deployment, `${folder}/setup.fox`);
    checks.check('the configuration is in force at all nodes', true);
    await runChecks(deployment, checks);
    await tryBadInput(deployment, checks);
    const inForce = await deployment.operate('show', 'in', 'force');
    print(inForce.output);
  } catch (error) {
    checks.check(
      `the demo of ${name} completed`,
      false,
      (error as Error).message,
    );
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
