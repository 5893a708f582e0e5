import test from 'ava';
import type {Quarantine} from '../configuration/configuration.js';
import {planQuarantine} from './plan.js';
import type {PlanInput} from './plan.js';

const suspect = {
  name: 'a'.repeat(32),
  head: 'b'.repeat(32),
  service: 'crewbook',
  request: 'GET /records/7',
};

const watched: Quarantine = {
  ...suspect,
  state: 'watched',
  since: 1,
  ended: ['c-1/1', 'c-2/1'],
  trials: 0,
};

const held: Quarantine = {
  ...watched,
  state: 'held',
  ended: ['c-1/1', 'c-2/1', 'c-3/1'],
};

const onTrial: Quarantine = {
  ...held,
  state: 'on-trial',
  trials: 1,
  trialAt: 'c-4/1',
};

function recordOf(lives: readonly string[], isAnswered = false) {
  return {suspect, endedIncarnations: new Set(lives), isAnswered};
}

/** What becomes of a case: the state put, why it is removed, or `keep`. */
function outcome(changes: Partial<PlanInput>): string {
  const plan = planQuarantine({
    quarantine: undefined,
    record: undefined,
    hasService: true,
    servingIncarnations: ['c-4/1', 'c-5/1'],
    hasTrialInstanceEnded: false,
    age: 0,
    wall: 99,
    ...changes,
  });
  if (plan.kind === 'put') return plan.quarantine.state;
  return plan.kind === 'remove' ? plan.reason : 'keep';
}

test('one crash blames no request', t => {
  t.is(outcome({record: recordOf(['c-1/1'])}), 'keep');
});

test('a request is watched from the second crash on, however many come at once', t => {
  t.is(outcome({record: recordOf(['c-1/1', 'c-2/1'])}), 'watched');
  const many = recordOf(['c-1/1', 'c-2/1', 'c-3/1', 'c-4/1']);
  t.is(outcome({record: many}), 'watched');
});

test('three instances that crash together beside a lookup leave its answers a second', t => {
  const third = recordOf(['c-3/1']);
  t.is(outcome({quarantine: watched, record: third, age: 999}), 'keep');
  t.is(outcome({quarantine: watched, record: third, age: 1_000}), 'held');
  const answered = recordOf(['c-3/1'], true);
  t.is(
    outcome({quarantine: watched, record: answered, age: 1_000}),
    'answered',
  );
});

test('two crashes hold nothing, and are forgotten in time', t => {
  t.is(outcome({quarantine: watched, age: 600_000}), 'keep');
  t.is(outcome({quarantine: watched, age: 600_001}), 'expired');
});

test('a held request gets three trials, the first soon, and no more', t => {
  const at = (trials: number, age: number) =>
    outcome({quarantine: {...held, trials}, age});
  t.is(at(0, 2_999), 'keep');
  t.is(at(0, 3_000), 'on-trial');
  t.is(at(1, 599_999), 'keep');
  t.is(at(1, 600_000), 'on-trial');
  t.is(at(2, 3_600_000), 'on-trial');
  t.is(at(3, 86_400_000), 'keep');
});

test('a trial waits for an instance that takes work', t => {
  t.is(outcome({quarantine: held, age: 10_000, servingIncarnations: []}), 'keep');
});

test('a refusal does not last for ever', t => {
  const quarantine = {...held, trials: 3};
  t.is(outcome({quarantine, age: 86_400_001}), 'expired');
});

test('a trial that ends its instance, or whose instance is gone, is over', t => {
  const crashed = recordOf(['c-4/1']);
  t.is(outcome({quarantine: onTrial, record: crashed}), 'held');
  t.is(outcome({quarantine: onTrial, servingIncarnations: ['c-5/1']}), 'held');
  t.is(outcome({quarantine: onTrial}), 'keep');
});

test('a trial whose instance ended under other work moves on, and counts once', t => {
  const plan = planQuarantine({
    quarantine: onTrial,
    record: undefined,
    hasService: true,
    servingIncarnations: ['c-5/1'],
    hasTrialInstanceEnded: true,
    age: 0,
    wall: 99,
  });
  t.like(plan, {quarantine: {state: 'on-trial', trials: 1, trialAt: 'c-5/1'}});
  t.is(outcome({quarantine: onTrial, servingIncarnations: [], hasTrialInstanceEnded: true}), 'held');
});

test('an answer clears a request in each state', t => {
  const record = recordOf([], true);
  for (const quarantine of [watched, held, onTrial]) {
    t.is(outcome({quarantine, record}), 'answered');
  }
});

test('a quarantine goes with its service', t => {
  t.is(outcome({quarantine: held, hasService: false}), 'no service');
  const record = recordOf(['c-1/1', 'c-2/1']);
  t.is(outcome({record, hasService: false}), 'keep');
});
