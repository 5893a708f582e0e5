import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {
  Deployment,
  DeployedInstance,
} from '../../bench/deployment/deployment.js';
import {setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {Reply} from '../../bench/demo/calls.js';
import {claimCodes} from '../../src/claims/codes.js';

/** Milliseconds. */
const waitTimeout = 60_000;

async function start(
  t: ExecutionContext,
  instances: number,
  claimRetention: number,
): Promise<Deployment> {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances},
      {name: 'drillvault', instances: 1},
    ],
    node: {claimRetention},
    control: {claimRetention},
  });
  t.teardown(deployment.killAll);
  await setUp(deployment, 'examples/agency/setup.fox');
  return deployment;
}

function crewbooks(deployment: Deployment): DeployedInstance[] {
  return deployment.instances.filter(({service}) => service === 'crewbook');
}

/** A node that is no keeper of crewbook. */
function callerNode(deployment: Deployment): DeployedInstance {
  return deployment.instances.find(({service}) => service === 'drillvault')!;
}

async function issue(
  instance: DeployedInstance,
  key: string,
): Promise<Reply | undefined> {
  try {
    return await call(instance.settings.callerAddress, '/certificates', {
      method: 'POST',
      key,
      tag: key,
      body: Buffer.from('{"crew": 31}'),
    });
  } catch {
    return undefined;
  }
}

async function runsOf(deployment: Deployment, key: string): Promise<number> {
  let sum = 0;
  for (const instance of crewbooks(deployment)) {
    const answer = await request(`http://${instance.upstreamAddress}/counts`);
    const {runs} = (await answer.body.json()) as {runs: Record<string, number>};
    sum += runs[key] ?? 0;
  }
  return sum;
}

function issueUntilAnswered(
  deployment: Deployment,
  key: string,
  isExpected: (reply: Reply) => boolean,
): Promise<void> {
  const entry = callerNode(deployment);
  return until(`the expected answer to ${key}`, waitTimeout, async () => {
    const reply = await issue(entry, key);
    return reply !== undefined && isExpected(reply);
  });
}

test.serial(
  'the loss of two keepers at once never lets an issuance run again',
  async t => {
    // A certificate is issued. Two of the three nodes that keep its claim are
    // killed and restart without claims. The resend must be refused as
    // keepers-lost, and no new issuance may run until the retention time is
    // over.
    const deployment = await start(t, 3, 8000);
    t.is((await issue(callerNode(deployment), 'cert-1'))?.status, 200);
    const [one, two] = crewbooks(deployment);
    for (const instance of [one!, two!]) {
      instance.node.signal('SIGKILL');
      await instance.node.ended();
      deployment.restart(instance.settings.name);
    }
    const lost = claimCodes.keepersLost.number;
    await issueUntilAnswered(
      deployment,
      'cert-1',
      reply => reply.code === lost,
    );
    t.is(await runsOf(deployment, 'cert-1'), 1);
    await issueUntilAnswered(
      deployment,
      'cert-2',
      reply => reply.status === 200,
    );
    t.is(await runsOf(deployment, 'cert-2'), 1);
  },
);

test.serial('a rolling restart of all nodes loses no claim', async t => {
  // A certificate is issued. All nodes of its service are stopped gracefully
  // and restarted, one after the other. Then no keeper is the process that
  // granted the claim; the resend must still get the stored answer.
  const deployment = await start(t, 4, 900_000);
  const first = await issue(callerNode(deployment), 'cert-3');
  t.is(first?.status, 200);
  for (const instance of crewbooks(deployment)) {
    t.is(await instance.node.stop(), 0);
    deployment.restart(instance.settings.name);
    await until('the restarted node serves', waitTimeout, async () => {
      const address = instance.settings.callerAddress;
      const reply = await call(address, '/records/x').catch(() => undefined);
      return reply?.status === 200;
    });
  }
  const resend = await issue(callerNode(deployment), 'cert-3');
  t.is(resend?.status, 200, JSON.stringify(resend));
  t.true(resend!.body.equals(first!.body));
  t.is(await runsOf(deployment, 'cert-3'), 1);
});
