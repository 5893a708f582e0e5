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

function recordOf(incarnations: readonly string[], isAnswered = false) {
  return {suspect, endedIncarnations: new Set(incarnations), isAnswered};
}

/** The outcome of a plan: the new state, the removal reason, or `keep`. */
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

test('a single crash does not lead to a quarantine', t => {
  t.is(outcome({record: recordOf(['c-1/1'])}), 'keep');
});

test('a request is watched first, even when more than two crashes are reported at once', t => {
  t.is(outcome({record: recordOf(['c-1/1', 'c-2/1'])}), 'watched');
  const many = recordOf(['c-1/1', 'c-2/1', 'c-3/1', 'c-4/1']);
  t.is(outcome({record: many}), 'watched');
});

test('a request is held no sooner than one second after it is watched', t => {
  const third = recordOf(['c-3/1']);
  t.is(outcome({quarantine: watched, record: third, age: 999}), 'keep');
  t.is(outcome({quarantine: watched, record: third, age: 1_000}), 'held');
  const answered = recordOf(['c-3/1'], true);
  t.is(
    outcome({quarantine: watched, record: answered, age: 1_000}),
    'answered',
  );
});

test('a request with two crashes stays watched until the watch expires', t => {
  t.is(outcome({quarantine: watched, age: 600_000}), 'keep');
  t.is(outcome({quarantine: watched, age: 600_001}), 'expired');
});

test('a held request gets three trials, the first one after 3 s', t => {
  const at = (trials: number, age: number) =>
    outcome({quarantine: {...held, trials}, age});
  t.is(at(0, 2_999), 'keep');
  t.is(at(0, 3_000), 'on-trial');
  t.is(at(1, 599_999), 'keep');
  t.is(at(1, 600_000), 'on-trial');
  t.is(at(2, 3_600_000), 'on-trial');
  t.is(at(3, 86_400_000), 'keep');
});

test('a trial waits until an instance is serving', t => {
  t.is(
    outcome({quarantine: held, age: 10_000, servingIncarnations: []}),
    'keep',
  );
});

test('a held request without further trials is released after a day', t => {
  const quarantine = {...held, trials: 3};
  t.is(outcome({quarantine, age: 86_400_001}), 'expired');
});

test('a trial ends when its instance crashes or is gone', t => {
  const crashed = recordOf(['c-4/1']);
  t.is(outcome({quarantine: onTrial, record: crashed}), 'held');
  t.is(outcome({quarantine: onTrial, servingIncarnations: ['c-5/1']}), 'held');
  t.is(outcome({quarantine: onTrial}), 'keep');
});

test('a trial whose instance crashed under other work moves to another instance and counts once', t => {
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
  t.is(
    outcome({
      quarantine: onTrial,
      servingIncarnations: [],
      hasTrialInstanceEnded: true,
    }),
    'held',
  );
});

test('an answer removes the quarantine in every state', t => {
  const record = recordOf([], true);
  for (const quarantine of [watched, held, onTrial]) {
    t.is(outcome({quarantine, record}), 'answered');
  }
});

test('a quarantine is removed together with its service', t => {
  t.is(outcome({quarantine: held, hasService: false}), 'no service');
  const record = recordOf(['c-1/1', 'c-2/1']);
  t.is(outcome({record, hasService: false}), 'keep');
});
