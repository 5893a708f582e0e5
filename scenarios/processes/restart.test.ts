import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {Deployment} from '../../bench/deployment/deployment.js';
import {
  connectOperator,
  findLeader,
  setUp,
} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {Reply} from '../../bench/demo/calls.js';
import {requestCodes} from '../../src/request/messages/codes.js';
import {metricNames} from '../../src/admin/metric-names.js';
import type {Command, Edit} from '../../src/configuration/messages.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const {noConfiguration} = requestCodes;
const refusal = {
  status: noConfiguration.status,
  code: noConfiguration.number,
  effect: noConfiguration.effect,
};
const checks = 30;
/**
 * Milliseconds between two checks, so that a home has time to send its state.
 */
const checkInterval = 200;

let lastSequence = Date.now() * 1000;

function change(...edits: Edit[]): Command {
  return {operator: 'tester', sequence: ++lastSequence, edits};
}

async function start(
  t: ExecutionContext,
  crewbooks: number,
): Promise<Deployment> {
  const services = [{name: 'crewbook', instances: crewbooks}];
  // Frequent snapshots, so that a restarted control process has a state to
  // serve.
  const control = {snapshotEntries: 2};
  const deployment = await startSmallDeployment({
    controls: 3,
    services,
    control,
  });
  t.teardown(deployment.stop);
  return deployment;
}

const lookUp = (address: string): Promise<Reply | undefined> =>
  call(address, '/records/crew-2').catch(() => undefined);

/** Whether a node has received bytes from a home, according to its metrics. */
async function hasReceivedBytes(address: string): Promise<boolean> {
  const response = await request(`http://${address}/metrics`);
  const text = await response.body.text();
  const labels = '\\{link="distribution",direction="in"\\}';
  const pattern = new RegExp(`^${metricNames.bytes}${labels} (\\d+)$`, 'm');
  return Number(pattern.exec(text)?.[1] ?? 0) > 0;
}

test.serial(
  'a node that restarts with only a stale control process serves no stale state',
  async t => {
    // An operator removes a route while one control process is down. Then the
    // two others are suspended, the first one returns, and a node restarts and
    // reaches only that one. Its configuration is not proved fresh, so the node
    // must refuse lookups rather than use the removed route, until the others
    // resume.
    const deployment = await start(t, 1);
    await setUp(deployment, 'examples/agency/setup.fox');
    const leader = await findLeader(deployment);
    const [stale, ...others] = [0, 1, 2].sort((left, right) =>
      left === leader ? 1 : right === leader ? -1 : left - right,
    ) as [number, number, number];
    const signal = (indexes: readonly number[], name: 'SIGSTOP' | 'SIGCONT') =>
      indexes.forEach(index => deployment.controls[index]!.signal(name));
    const [instance] = deployment.instances;
    const address = instance!.settings.callerAddress;
    await until('the route is in force', waitTimeout, async () => {
      return (await lookUp(address))?.status === 200;
    });

    deployment.controls[stale]!.signal('SIGKILL');
    await deployment.controls[stale]!.ended();
    const client = connectOperator(deployment, others);
    const removal = {action: 'remove', kind: 'route', name: 'records'} as const;
    const reply = await client.change(change(removal));
    t.true(reply.ok && reply.value.code === 1000, JSON.stringify(reply));
    await client.close();
    await until('the removal is in force', waitTimeout, async () => {
      const answer = await lookUp(address);
      return answer !== undefined && answer.status !== 200;
    });

    instance!.node.signal('SIGKILL');
    await instance!.node.ended();
    signal(others, 'SIGSTOP');
    t.teardown(() => signal(others, 'SIGCONT'));
    deployment.restart(deployment.controlSettings[stale]!.name);
    deployment.restart(instance!.settings.name);
    await until(
      'the node has received data from the stale process',
      waitTimeout,
      () =>
        hasReceivedBytes(instance!.settings.adminAddress).catch(() => false),
    );
    for (let number = 0; number < checks; number++) {
      const answer = await lookUp(address);
      const {status, code, effect} = answer!;
      t.deepEqual({status, code, effect}, refusal);
      await pause(checkInterval);
    }

    signal(others, 'SIGCONT');
    await until(
      'the node serves the accepted version',
      waitTimeout,
      async () => {
        const answer = await lookUp(address);
        t.not(answer?.status, 200);
        return answer?.status === 404;
      },
    );
  },
);

test.serial('a graceful stop of the leader loses no change', async t => {
  // An operator sends changes one after the other while the leader is stopped
  // gracefully. Every change must be accepted, the history must contain each
  // one once, and the process must exit with 0.
  const deployment = await start(t, 0);
  const leader = await findLeader(deployment);
  const client = connectOperator(deployment);
  let ending: Promise<number> | undefined;
  for (let number = 0; number < checks; number++) {
    if (number === 10) ending = deployment.controls[leader]!.stop();
    const value = {name: `service-${number}`, slowStart: 0};
    const put = {action: 'put', item: {kind: 'service', value}} as const;
    const reply = await client.change(change(put));
    t.true(reply.ok && reply.value.code === 1000, JSON.stringify(reply));
  }
  t.is(await ending!, 0);
  const history = await client.history(100);
  t.is(history.ok ? history.value.changes.length : 0, checks);
  await client.close();
});
