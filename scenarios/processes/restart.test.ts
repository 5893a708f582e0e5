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

const limit = 60_000;
const {noConfiguration} = requestCodes;
const refusal = {
  status: noConfiguration.status,
  code: noConfiguration.number,
  effect: noConfiguration.effect,
};
const looks = 30;
/** Milliseconds; a home has time to send its state between two looks. */
const lookPeriod = 200;

let lastSequence = Date.now() * 1000;

function change(...edits: Edit[]): Command {
  return {operator: 'tester', sequence: ++lastSequence, edits};
}

async function start(
  t: ExecutionContext,
  crewbooks: number,
): Promise<Deployment> {
  const services = [{name: 'crewbook', instances: crewbooks}];
  // Snapshots so often that a control process knows its state at a start.
  const control = {snapshotEntries: 2};
  const deployment = await startSmallDeployment({controls: 3, services, control});
  t.teardown(deployment.stop);
  return deployment;
}

const look = (address: string): Promise<Reply | undefined> =>
  call(address, '/records/crew-2').catch(() => undefined);

/** Whether a node got anything from a home, by its own metrics. */
async function hasHeardHome(address: string): Promise<boolean> {
  const answer = await request(`http://${address}/metrics`);
  const text = await answer.body.text();
  const labels = '\\{link="distribution",direction="in"\\}';
  const pattern = new RegExp(`^${metricNames.bytes}${labels} (\\d+)$`, 'm');
  return Number(pattern.exec(text)?.[1] ?? 0) > 0;
}

test.serial(
  'a node that restarts beside a stale control process serves nothing old',
  async t => {
    // An operator removes a route while one control process is dead. Then the
    // two that know of it stand still, the dead one returns, and a node restarts
    // and finds only that one. It must refuse lookups as not proved rather than
    // send them where the route no longer leads, until the others are back.
    const deployment = await start(t, 1);
    await setUp(deployment, 'examples/agency/setup.fox');
    const leader = await findLeader(deployment);
    const [stale, ...others] = [0, 1, 2].sort((left, right) =>
      left === leader ? 1 : right === leader ? -1 : left - right,
    ) as [number, number, number];
    const signal = (indexes: readonly number[], name: 'SIGSTOP' | 'SIGCONT') =>
      indexes.forEach(index => deployment.controls[index]!.signal(name));
    const [place] = deployment.instances;
    const address = place!.settings.callerAddress;
    await until('the route is in force', limit, async () => {
      return (await look(address))?.status === 200;
    });

    deployment.controls[stale]!.signal('SIGKILL');
    await deployment.controls[stale]!.ended();
    const client = connectOperator(deployment, others);
    const removal = {action: 'remove', kind: 'route', name: 'records'} as const;
    const reply = await client.change(change(removal));
    t.true(reply.ok && reply.value.code === 1000, JSON.stringify(reply));
    await client.close();
    await until('the removal is in force', limit, async () => {
      const seen = await look(address);
      return seen !== undefined && seen.status !== 200;
    });

    place!.node.signal('SIGKILL');
    await place!.node.ended();
    signal(others, 'SIGSTOP');
    t.teardown(() => signal(others, 'SIGCONT'));
    deployment.restart(deployment.controlSettings[stale]!.name);
    deployment.restart(place!.settings.name);
    await until('the node has met the stale process', limit, () =>
      hasHeardHome(place!.settings.adminAddress).catch(() => false),
    );
    for (let number = 0; number < looks; number++) {
      const seen = await look(address);
      const {status, code, effect} = seen!;
      t.deepEqual({status, code, effect}, refusal);
      await pause(lookPeriod);
    }

    signal(others, 'SIGCONT');
    await until('the node serves what is accepted', limit, async () => {
      const seen = await look(address);
      t.not(seen?.status, 200);
      return seen?.status === 404;
    });
  },
);

test.serial('a leader that is stopped loses no change', async t => {
  // An operator issues changes one after the other while the leading process
  // is stopped in a planned way. Every change is accepted, each is in the
  // history once, and the process exits with 0.
  const deployment = await start(t, 0);
  const leader = await findLeader(deployment);
  const client = connectOperator(deployment);
  let ending: Promise<number> | undefined;
  for (let number = 0; number < looks; number++) {
    if (number === 10) ending = deployment.controls[leader]!.stop();
    const value = {name: `service-${number}`, slowStart: 0};
    const put = {action: 'put', item: {kind: 'service', value}} as const;
    const reply = await client.change(change(put));
    t.true(reply.ok && reply.value.code === 1000, JSON.stringify(reply));
  }
  t.is(await ending!, 0);
  const history = await client.history(100);
  t.is(history.ok ? history.value.changes.length : 0, looks);
  await client.close();
});
