import test from 'ava';
import type {Priority} from '../../src/configuration/configuration.js';
import {weightExponent} from '../../src/request/decisions/workspace-weights.js';
import {servedShare, servedShares, simulateSharing} from './simulation.js';
import type {Flood, SharingOptions, WorkspaceLoad} from './simulation.js';

const lookups = {name: 'lookups', work: 120, objective: 500};
const exports = {name: 'exports', work: 480, objective: 2_000};
const duration = 60_000;
const always = {from: 0, until: Infinity};
/** How far the others' served share may fall during a flood. */
const tolerance = 0.05;
const isOther = (name: string) => name !== 'flooding';

/** Twenty workspaces and one that floods; together they fill the slots. */
function loadOf(
  flood: Flood | undefined,
  priority: Priority = 'normal',
): WorkspaceLoad[] {
  const load = 1 / 21;
  const usual = {load, kind: lookups, priority: 'normal'} as const;
  const others = Array.from({length: 20}, (_, index) => ({
    ...usual,
    name: `workspace ${index}`,
  }));
  return [{...usual, name: 'flooding', priority, flood}, ...others];
}

function play(
  workspaces: readonly WorkspaceLoad[],
  changes: Partial<SharingOptions> = {},
) {
  return simulateSharing({
    workspaces,
    seed: 1,
    duration,
    fair: true,
    ...changes,
  });
}

for (const factor of [6, 9]) {
  for (const fair of [true, false]) {
    test(`a flood by a factor of ${factor}, fair order: ${fair}`, t => {
      // In the order of arrival all workspaces lose by the flood of one.
      const quiet = play(loadOf(undefined), {fair});
      const flooded = play(loadOf({...always, factor}), {fair});
      const loss = servedShare(quiet, isOther) - servedShare(flooded, isOther);
      t.is(loss <= tolerance, fair, `the others lost ${loss}`);
      if (!fair) return;
      const half = servedShare(flooded) / 2;
      t.true(servedShares(flooded, isOther)[0]! >= half);
      const before = quiet.workspaces.get('flooding')!.served;
      const left = flooded.workspaces.get('flooding')!.served;
      t.true(left >= before * 0.9, `${left} served, ${before} without flood`);
    });
  }
}

for (const priority of ['critical', 'background'] as const) {
  test(`a flood of priority ${priority} inverts no priority`, t => {
    const flood = {...always, factor: 9};
    const flooded = play(loadOf(flood, priority), {floor: 0});
    t.is(flooded.inversions, 0);
    const others = servedShares(flooded, isOther);
    t.true(others[0]! >= servedShare(flooded, isOther) / 2, `${others}`);
  });
}

test('a flood of lower priority takes nothing from the others', t => {
  const flood = {...always, factor: 9};
  const quiet = play(loadOf(undefined, 'background'));
  const flooded = play(loadOf(flood, 'background'));
  const loss = servedShare(quiet, isOther) - servedShare(flooded, isOther);
  t.true(loss <= tolerance, `the others lost ${loss}`);
});

test('a flood that ends leaves no debt and no credit', t => {
  const flood = {from: 20_000, until: 26_000, factor: 9};
  const during = {countedFrom: 20_000, countedUntil: 26_000};
  const quiet = play(loadOf(undefined), during);
  const flooded = play(loadOf(flood), during);
  const loss = servedShare(quiet, isOther) - servedShare(flooded, isOther);
  t.true(loss <= tolerance, `the others lost ${loss}`);
  const after = play(loadOf(flood), {countedFrom: 27_000});
  const own = servedShare(after, name => !isOther(name));
  const others = servedShare(after, isOther);
  t.true(
    Math.abs(own - others) < 0.1,
    `${own} of its own, ${others} of others`,
  );
});

test('a workspace that was idle gets no more than its share', t => {
  // Saved-up credit would let it take all slots when it returns.
  const returning = {from: 30_000, until: Infinity, factor: 1e3};
  const usual = {load: 1, kind: lookups, priority: 'normal'} as const;
  const {workspaces} = play(
    [
      {...usual, name: 'busy'},
      {...usual, name: 'returning', load: 1e-3, flood: returning},
    ],
    {countedFrom: 30_000, countedUntil: 32_000},
  );
  const own = workspaces.get('returning')!.work;
  const share = own / (own + workspaces.get('busy')!.work);
  t.true(share < 0.55, `${share} of the work in the first two seconds`);
});

for (const fair of [true, false]) {
  test(`short and long work share by work, fair order: ${fair}`, t => {
    // By count, the workspace with long work would get four times the work.
    const usual = {load: 1, priority: 'normal'} as const;
    const {workspaces} = play(
      [
        {...usual, name: 'short', kind: lookups},
        {...usual, name: 'long', kind: exports},
      ],
      {fair},
    );
    const ratio = workspaces.get('long')!.work / workspaces.get('short')!.work;
    t.is(ratio > 0.85 && ratio < 1.15, fair, `long over short: ${ratio}`);
  });
}

test('sizes by a power law: none is served less than half as often as all', t => {
  // With equal weights the largest workspace gets a quarter at this load.
  const sizes = Array.from({length: 77}, (_, rank) => (rank + 1) ** -1.2);
  const sum = sizes.reduce((total, size) => total + size, 0);
  const mean = sum / sizes.length;
  const loads = (weightOf: (size: number) => number) =>
    sizes.map((size, rank) => ({
      name: `workspace ${rank}`,
      load: (2 * size) / sum,
      kind: lookups,
      priority: 'normal' as const,
      weight: weightOf(size),
    }));
  const lowest = (weightOf: (size: number) => number) => {
    const result = play(loads(weightOf), {duration: 240_000});
    return servedShares(result)[0]! / servedShare(result);
  };
  const weighted = lowest(size => (size / mean) ** weightExponent);
  t.true(weighted >= 0.5, `${weighted} of all`);
  t.true(lowest(() => 1) < 0.5);
});

for (const fair of [true, false]) {
  test(`a flood among sizes by a power law, fair order: ${fair}`, t => {
    // Weights must not let a workspace of some size delay all others.
    const sizes = Array.from({length: 77}, (_, rank) => (rank + 1) ** -1.2);
    const sum = sizes.reduce((total, size) => total + size, 0);
    const loads = (factor: number) =>
      sizes.map((size, rank) => ({
        name: rank === 5 ? 'flooding' : `workspace ${rank}`,
        load: size / sum,
        kind: lookups,
        priority: 'normal' as const,
        weight: ((size * sizes.length) / sum) ** weightExponent,
        flood: rank === 5 ? {...always, factor} : undefined,
      }));
    const quiet = play(loads(1), {fair});
    const flooded = play(loads(9), {fair});
    const loss = servedShare(quiet, isOther) - servedShare(flooded, isOther);
    t.is(loss <= tolerance, fair, `the others lost ${loss}`);
  });
}
