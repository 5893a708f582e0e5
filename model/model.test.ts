import test from 'ava';
import pLimit from 'p-limit';
import {checks} from './checks.js';
import type {Check} from './checks.js';
import {describe, judge, run, searchesAtOnce} from './run.js';

// Each invariant must hold in all states within its bounds, each mutant must
// violate the invariant that its safeguard protects, and each witness must be
// reached. Without spin and gcc these tests fail; they are not skipped.
const limit = pLimit(searchesAtOnce);
for (const check of checks) {
  test(`${check.specification}: ${check.name}`, async t => {
    // The timeout includes the wait for earlier searches; `run` limits each
    // one.
    t.timeout(7_200_000);
    const outcome = await limit(() => run(check));
    const line = describe(check, outcome);
    t.log(line);
    t.true(outcome.passed, line);
  });
}

const invariant: Check = {
  name: 'claim',
  specification: 'consensus',
  bounds: {},
  expected: 'holds',
};
const completeOutput =
  'State-vector 60 byte, depth reached 9, errors: 0\n 12 states, stored\n';

test('a search that ended early fails the check', t => {
  const complete = {output: completeOutput, failed: false};
  t.true(judge(invariant, complete).passed);
  for (const output of [
    `${completeOutput}Warning: Search not completed`,
    `${completeOutput}error: max search depth too small`,
    'pan: out of memory',
    '',
  ]) {
    t.false(judge(invariant, {output, failed: false}).passed);
  }
  t.false(judge(invariant, {...complete, failed: true}).passed);
});

test('a mutant that violates no invariant or another one fails the check', t => {
  const mutant = {
    ...invariant,
    expected: 'refuted',
    assertion: 'runs<=1',
  } as const;
  const violation = (assertion: string) => ({
    output: `pan:1: assertion violated (${assertion}) (at depth 5)\n${completeOutput}`,
    failed: false,
  });
  t.true(judge(mutant, violation('runs<=1')).passed);
  t.false(judge(mutant, violation('other')).passed);
  t.false(judge(mutant, {output: completeOutput, failed: false}).passed);
  t.false(judge(invariant, violation('runs<=1')).passed);
});
