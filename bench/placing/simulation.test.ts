import test from 'ava';
import {simulatePlacement} from './simulation.js';
import type {PlacedResult, PlacedService} from './simulation.js';

const small: Omit<PlacedService, 'rule'> = {
  domains: 1,
  entriesPerDomain: 4,
  instancesPerDomain: 6,
  slots: 8,
  work: 140,
  objective: 534,
  deadline: 2_000,
  load: 3,
  swing: 0.2,
  background: 0.3,
  duration: 15_000,
};
const seeds = [1, 2, 3];

/** Results with a share of probes; 1 sends every call. */
function play(
  changes: Partial<PlacedService>,
  probeShare?: number,
): PlacedResult[] {
  const pool = {crossings: 'dear' as const, probeShare};
  const rule = {name: '', estimates: true, pool};
  return seeds.map(seed =>
    simulatePlacement({...small, ...changes, rule}, seed),
  );
}

function mean(
  results: readonly PlacedResult[],
  figure: (result: PlacedResult) => number,
): number {
  return results.reduce((sum, each) => sum + figure(each), 0) / results.length;
}

// A refusal at the entry must only take the place of one at a gate.
test('under heavy overload callers get as much if their entries refuse calls', t => {
  const sent = play({}, 1);
  const refusing = play({});
  t.is(
    mean(sent, each => each.refusedAtEntry),
    0,
  );
  t.true(mean(refusing, each => each.refusedAtEntry) > 0.05);
  const attempts = (each: PlacedResult) => each.attemptsPerRequest;
  t.true(mean(refusing, attempts) < mean(sent, attempts) - 0.05);
  const inTime = (each: PlacedResult) => each.inTime;
  t.true(mean(refusing, inTime) > mean(sent, inTime) - 0.01);
  const normal = ({inTimeOf}: PlacedResult) => inTimeOf.normal;
  t.true(mean(refusing, normal) > mean(sent, normal) - 0.01);
});

// Instances with room must get every call.
test('below its capacity a service has no call refused by entries', t => {
  for (const each of play({load: 0.8})) t.is(each.refusedAtEntry, 0);
});

test('with dear crossings fewer calls cross, and as many are in time', t => {
  const uneven = {
    domains: 4,
    entriesPerDomain: 6,
    instancesPerDomain: 4,
    load: 0.8,
    swing: 0.55,
    background: 0,
  };
  const free = seeds.map(seed => {
    const rule = {name: '', pool: {}};
    return simulatePlacement({...small, ...uneven, rule}, seed);
  });
  const dear = play(uneven);
  const crossings = (each: PlacedResult) => each.crossings;
  t.true(mean(dear, crossings) < mean(free, crossings) / 2);
  const inTime = (each: PlacedResult) => each.inTime;
  t.true(mean(dear, inTime) > mean(free, inTime) - 0.015);
});
