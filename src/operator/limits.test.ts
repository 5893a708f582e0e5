import test from 'ava';
import {
  putPolicy,
  putRoute,
  putService,
} from '../configuration/fakes/sample.js';
import type {Limits} from '../configuration/limits.js';
import type {Edit} from '../configuration/messages.js';
import {defaults} from '../settings/defaults.js';
import {checkLimits} from './limits.js';

const cases: ReadonlyArray<readonly [keyof Limits, number, Edit[]]> = [
  ['edits', 1, [putService('a'), putService('b')]],
  ['nameLength', 5, [putService('drills')]],
  ['nameLength', 5, [{action: 'remove', kind: 'route', name: 'drills'}]],
  ['prefixLength', 4, [putRoute('r', 'a', 'p', '/long')]],
  ['deadline', 249, [putPolicy('p', 250)]],
  ['slowStart', 99, [putService('a', 100)]],
  ['attempts', 0, [putPolicy('p')]],
  ['bodyLimit', 1023, [putPolicy('p')]],
];

for (const [limit, value, edits] of cases) {
  test(`a command over limits.${limit} is refused with the name of the limit: ${edits.length} edits, ${edits[0]!.action}`, t => {
    const command = {operator: 'amina', sequence: 1, edits};
    const tight = {...defaults.limits, [limit]: value};
    const refused = checkLimits(command, tight, 1000);
    t.is(refused.ok ? 0 : refused.code.number, 2005);
    t.regex(refused.ok ? '' : refused.message, new RegExp(`limits.${limit} `));
    t.true(checkLimits(command, defaults.limits, 1000).ok);
    const exact = {...defaults.limits, [limit]: value + 1};
    t.true(checkLimits(command, exact, 1000).ok, 'the limit itself is allowed');
  });
}

// The answer table refuses sequences up to its floor, the highest evicted one.
// Once a sequence years ahead was evicted, the floor would be above all
// sequences that clients take from their clocks, and no operator could make
// changes. So such a command is refused before it enters the log.
test('a sequence far ahead of the clock is refused', t => {
  const command = (sequence: number) => ({
    operator: 'amina',
    sequence,
    edits: [putService('a')],
  });
  const wall = 1_700_000_000_000;
  const hour = 3_600_000;
  const check = (sequence: number) =>
    checkLimits(command(sequence), defaults.limits, wall).ok;
  t.true(check(wall * 1000));
  t.true(check((wall + hour) * 1000));
  t.false(check((wall + hour) * 1000 + 1));
});
