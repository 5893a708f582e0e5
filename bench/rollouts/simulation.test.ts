import test from 'ava';
import {runKinds} from './kinds.js';
import type {RunKind} from './kinds.js';
import {playRollout} from './simulation.js';

const allSafeguards = {takeover: true, budget: true, verdict: true};

function kindOf(name: string): RunKind {
  const kind = runKinds.find(each => each.name === name);
  if (kind === undefined) throw new Error(`there is no kind ${name}`);
  return kind;
}

/** Milliseconds; the users' bound on requests after the 50th bad answer. */
const rollbackBound = 5_000;

/** Figures that hold for a version that turns out bad long before the end. */
const early = [
  'fails 0.3',
  'fails 0.3 from 5 s',
  'fails 0.3 on one route',
  'fails 0.3, leader lost twice',
  'fails 0.3, entries cut off',
];

for (const name of early) {
  test(`a version that ${name} is rolled back within its allowance`, async t => {
    for (const seed of [1, 2]) {
      const result = await playRollout({kind: kindOf(name), seed});
      t.is(result.phase, 'rolled-back', result.reason);
      t.true(result.exposure < 1, `${result.exposure}`);
      t.true(result.afterFiftiethBad < rollbackBound);
    }
  });
}

for (const name of [
  'good',
  'good, two bad VMs',
  'good, leader lost twice',
  'good, entries cut off',
  'good, answers lost',
]) {
  test(`a version takes over without a lost request: ${name}`, async t => {
    const result = await playRollout({kind: kindOf(name), seed: 1});
    t.is(result.phase, 'completed', result.reason);
    t.is(result.lost, 0);
  });
}

test('a version that never comes is rolled back', async t => {
  const result = await playRollout({kind: kindOf('never comes'), seed: 1});
  t.is(result.phase, 'rolled-back');
  t.is(result.exposure, 0);
});

test('without the wait for running work, requests are lost', async t => {
  const result = await playRollout({
    kind: kindOf('good'),
    seed: 1,
    safeguards: {...allSafeguards, takeover: false},
  });
  t.true(result.lost > 0);
});

test('without a budget, a version that fails late gets more than allowed', async t => {
  const result = await playRollout({
    kind: kindOf('fails 0.3 from 5 s'),
    seed: 1,
    safeguards: {...allSafeguards, budget: false},
  });
  t.true(result.exposure > 1, `${result.exposure}`);
});

test('without a verdict, a bad version takes over', async t => {
  const result = await playRollout({
    kind: kindOf('fails 0.3'),
    seed: 1,
    safeguards: {...allSafeguards, verdict: false},
  });
  t.is(result.phase, 'completed');
});
