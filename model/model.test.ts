import test from 'ava';
import pLimit from 'p-limit';
import {checks} from './checks.js';
import type {Check} from './checks.js';
import {describe, judge, run, searchesAtOnce} from './run.js';

// Each claim must hold in all states within its bounds, each mutant must be
// refuted by the claim that its safeguard serves, and each witness must be
// reached. Missing tools fail these tests; they are not skipped.
const limit = pLimit(searchesAtOnce);
for (const check of checks) {
  test(`${check.specification}: ${check.name}`, async t => {
    // It waits for the searches before it; its own end is bounded by `run`.
    t.timeout(7_200_000);
    const outcome = await limit(() => run(check));
    const line = describe(check, outcome);
    t.log(line);
    t.true(outcome.passed, line);
  });
}

const claim: Check = {
  name: 'claim',
  specification: 'consensus',
  bounds: {},
  expected: 'holds',
};
const whole =
  'State-vector 60 byte, depth reached 9, errors: 0\n 12 states, stored\n';

test('a search that ended early is no proof', t => {
  const complete = {output: whole, failed: false};
  t.true(judge(claim, complete).passed);
  for (const output of [
    `${whole}Warning: Search not completed`,
    `${whole}error: max search depth too small`,
    'pan: out of memory',
    '',
  ]) {
    t.false(judge(claim, {output, failed: false}).passed);
  }
  t.false(judge(claim, {...complete, failed: true}).passed);
});

test('a mutant that survives, or breaks another claim, fails', t => {
  const mutant = {...claim, expected: 'refuted', assertion: 'runs<=1'} as const;
  const broken = (assertion: string) => ({
    output: `pan:1: assertion violated (${assertion}) (at depth 5)\n${whole}`,
    failed: false,
  });
  t.true(judge(mutant, broken('runs<=1')).passed);
  t.false(judge(mutant, broken('other')).passed);
  t.false(judge(mutant, {output: whole, failed: false}).passed);
  t.false(judge(claim, broken('runs<=1')).passed);
});
