import test from 'ava';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {watchConfirmation} from './confirmation-watch.js';
import {createOperator, createStage} from './fakes/stage.js';

async function watchNode() {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address]);
  const {log, lines} = createRecordedLog();
  const durations: number[] = [];
  const {timers} = stage;
  watchConfirmation({
    ...node,
    metrics: {unconfirmed: duration => void durations.push(duration)},
    timers,
    log,
    period: 100,
    limit: 3000,
  });
  await timers.advanceAsync(3000);
  return {stage, operator, control, node, lines, durations};
}

test('nothing is told while a quorum confirms the state', async t => {
  const {stage, operator, lines} = await watchNode();
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(10_000);
  t.deepEqual(lines, []);
});

test('a home that no quorum answers shows by the age of its mark', async t => {
  const {stage, control, lines, durations} = await watchNode();
  control.quorum = false;
  await stage.timers.advanceAsync(10_000);
  t.is(lines.length, 3);
  t.like(lines[0], {
    message: 'configuration not confirmed',
    fields: {version: 1, link: 'attached', subscriber: 'inStep'},
  });
  t.true((lines[0]!.fields['markAge'] as number) > 3000);
  control.quorum = true;
  await stage.timers.advanceAsync(3000);
  const last = lines[lines.length - 1]!;
  t.is(last.message, 'configuration confirmed again');
  t.is(last.fields['duration'], Math.round(durations[0]!));
  t.true(durations[0]! > 9000 && durations[0]! < 13_000);
});

test('a push that does not come shows by a fresh mark of a newer version', async t => {
  const {stage, operator, lines} = await watchNode();
  stage.network.decide((_source, _target, message) =>
    JSON.stringify(message).includes('"push"') ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(5000);
  t.like(lines[0]!.fields, {version: 1, markVersion: 2, link: 'attached'});
  t.true((lines[0]!.fields['markAge'] as number) < 3000);
});

test('a link that is gone shows as one that is sought', async t => {
  const {stage, lines} = await watchNode();
  stage.network.cut('node-1', 'control-1');
  stage.network.cut('control-1', 'node-1');
  await stage.timers.advanceAsync(8000);
  t.not(lines[1]!.fields['link'], 'attached');
});
