import test from 'ava';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {watchConfirmation} from './confirmation-watch.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';

async function watchNode() {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address]);
  const {log, lines} = createRecordedLog();
  const durations: number[] = [];
  const {timers} = cluster;
  watchConfirmation({
    ...node,
    metrics: {unconfirmed: duration => void durations.push(duration)},
    timers,
    log,
    period: 100,
    limit: 3000,
  });
  await timers.advanceAsync(3000);
  return {cluster, operator, control, node, lines, durations};
}

test('nothing is logged while a quorum confirms the state', async t => {
  const {cluster, operator, lines} = await watchNode();
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(10_000);
  t.deepEqual(lines, []);
});

test('a home without a quorum is recognized by the age of its mark', async t => {
  const {cluster, control, lines, durations} = await watchNode();
  control.quorum = false;
  await cluster.timers.advanceAsync(10_000);
  t.is(lines.length, 3);
  t.like(lines[0], {
    message: 'configuration not confirmed',
    fields: {version: 1, link: 'attached', subscriber: 'inStep'},
  });
  t.true((lines[0]!.fields['markAge'] as number) > 3000);
  control.quorum = true;
  await cluster.timers.advanceAsync(3000);
  const last = lines[lines.length - 1]!;
  t.is(last.message, 'configuration confirmed again');
  t.is(last.fields['duration'], Math.round(durations[0]!));
  t.true(durations[0]! > 9000 && durations[0]! < 13_000);
});

test('a lost push is recognized by a fresh mark with a newer version', async t => {
  const {cluster, operator, lines} = await watchNode();
  cluster.network.decide((_source, _target, message) =>
    JSON.stringify(message).includes('"push"') ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(5000);
  t.like(lines[0]!.fields, {version: 1, markVersion: 2, link: 'attached'});
  t.true((lines[0]!.fields['markAge'] as number) < 3000);
});

test('a lost link is logged as not attached', async t => {
  const {cluster, lines} = await watchNode();
  cluster.network.cut('node-1', 'control-1');
  cluster.network.cut('control-1', 'node-1');
  await cluster.timers.advanceAsync(8000);
  t.not(lines[1]!.fields['link'], 'attached');
});
