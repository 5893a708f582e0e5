import test from 'ava';
import {commonCodes} from '../result/codes.js';
import {configurationCodes as codes} from './codes.js';
import type {Rollout} from './configuration.js';
import {
  createSampleMachine,
  putPolicy,
  putRoute,
  putService,
} from './fakes/sample.js';
import {decodeAnswer} from './log-entry.js';
import type {Edit, StartRollout} from './messages.js';
import {ended, recordedVersion} from './rollout-edits.js';
import {rolloutControllerName} from './system-name.js';

const order: StartRollout = {
  action: 'start-rollout',
  service: 'records',
  target: 'v2',
  duration: 12_000,
};
const back: Edit = {action: 'roll-back', service: 'records', reason: 'asked'};
const ok = commonCodes.ok.number;

/** A machine with a service, and the code of each further edit. */
function setUp(baseline?: string) {
  const machine = createSampleMachine();
  let index = 0;

  function apply(edits: readonly Edit[], operator = 'amina'): number {
    const command = {operator, sequence: ++index, edits};
    return decodeAnswer(machine.apply(index, machine.prepare(command, 1))).code;
  }

  const step = (value: Rollout) =>
    apply([{action: 'put', item: {kind: 'rollout', value}}], system);
  const rollout = () => machine.current().rollouts.get('records');
  apply([putService('records')]);
  if (baseline !== undefined) step(recordedVersion('records', baseline));
  return {machine, rollout, step, change: (edit: Edit) => apply([edit])};
}

const system = rolloutControllerName('control-1');

test('an order starts a roll-out without a share', t => {
  const {change, rollout} = setUp('v1');
  t.is(change(order), ok);
  t.like(rollout(), {stable: ['v1'], phase: 'running', share: 0});
  t.deepEqual(rollout()?.order, {target: 'v2', duration: 12_000, number: 1});
});

test('an order for a service that does not exist is refused', t => {
  const {change} = setUp();
  t.is(change({...order, service: 'other'}), codes.notFound.number);
});

test('the version that has all requests cannot be ordered', t => {
  const {change} = setUp('v2');
  t.is(change(order), codes.alreadyStable.number);
});

test('the same order again changes nothing while it is under way', t => {
  const {change, rollout} = setUp('v1');
  change(order);
  const before = rollout();
  t.is(change(order), ok);
  t.is(rollout(), before);
});

test('another order is refused while one is under way', t => {
  const {change, rollout} = setUp('v1');
  change(order);
  t.is(change({...order, target: 'v3'}), codes.rolloutUnderWay.number);
  t.is(change({...order, duration: 5_000}), codes.rolloutUnderWay.number);
  t.is(rollout()?.order?.number, 1);
});

// Guards against an order whose answer was lost and which, sent again after the
// version was rolled back, brings the bad version into service again.
test('a resend after the roll-back does not start the roll-out again', t => {
  const {change, rollout} = setUp('v1');
  change(order);
  change(back);
  t.is(change({...order, repeats: 1}), ok);
  t.is(rollout()?.phase, 'rolled-back');
});

test('a new order of a version that was rolled back starts again', t => {
  const {change, rollout} = setUp('v1');
  change(order);
  change(back);
  t.is(change(order), ok);
  t.like(rollout(), {phase: 'running', share: 0});
  t.is(rollout()?.order?.number, 2);
});

test('a completed target is the stable version of the next order', t => {
  const {change, rollout, step} = setUp('v1');
  change(order);
  step(ended(rollout()!, 'completed', 'done'));
  t.is(change(order), ok);
  t.is(rollout()?.phase, 'completed');
  t.is(change({...order, target: 'v3'}), ok);
  t.deepEqual(rollout()?.stable, ['v2']);
});

// Guards against a step of a deposed leader, applied after an operator has rolled
// the version back, that gives the bad version its share again.
test('a step that was prepared before the end is refused', t => {
  const {change, rollout, step} = setUp('v1');
  change(order);
  const late = {...rollout()!, share: 0.1};
  change(back);
  t.is(step(late), codes.rolloutEnded.number);
  t.is(rollout()?.phase, 'rolled-back');
});

test('a step of an earlier order is refused', t => {
  const {change, rollout, step} = setUp('v1');
  change(order);
  const late = {...rollout()!, share: 0.1};
  change(back);
  change({...order, target: 'v3'});
  t.is(step(late), codes.rolloutEnded.number);
  t.is(rollout()?.share, 0);
});

test('a recorded version does not replace an order', t => {
  const {change, rollout, step} = setUp('v1');
  change(order);
  t.is(step(recordedVersion('records', 'v2')), codes.rolloutEnded.number);
  t.is(rollout()?.phase, 'running');
});

test('the roll-out of a removed service ends with it', t => {
  const {change, machine} = setUp('v1');
  change(order);
  change({action: 'remove', kind: 'service', name: 'records'});
  t.is(machine.current().rollouts.size, 0);
});

test('a refused change leaves the roll-out of its service as it was', t => {
  const {change, machine, rollout} = setUp('v1');
  change(order);
  change(putPolicy('lookups'));
  change(putRoute('records', 'records', 'lookups'));
  const code = change({action: 'remove', kind: 'service', name: 'records'});
  t.is(code, codes.stillReferenced.number);
  t.is(rollout()?.phase, 'running');
  t.is(machine.current().services.size, 1);
});

test('a whole revision keeps the roll-outs of services that stay', t => {
  const {change, machine, rollout} = setUp('v1');
  change(order);
  const items = [putService('records'), putService('other')].flatMap(edit =>
    edit.action === 'put' ? [edit.item] : [],
  );
  const replacement = {revision: 2, base: 0, items, document: '{}'};
  const entry = machine.prepareReplacement(replacement, 1);
  t.is(decodeAnswer(machine.apply(100, entry)).code, ok);
  t.is(rollout()?.phase, 'running');
});

test('a snapshot keeps roll-outs', t => {
  const {change, machine, rollout} = setUp('v1');
  change(order);
  const other = createSampleMachine();
  other.restore(9, machine.snapshot());
  t.deepEqual(other.current().rollouts.get('records'), rollout());
  t.is(other.digest(), machine.digest());
});
