import test from 'ava';
import {agency} from './agency.js';
import {sawmill} from './sawmill.js';
import {simulateOverload} from './simulation.js';
import type {
  OverloadOptions,
  OverloadResult,
  RequestKind,
} from './simulation.js';

/** One of three instances of the called service is left from 2.5 s on. */
const departures = [
  {instance: 9, leavesAt: 2_000},
  {instance: 10, leavesAt: 2_500},
];

/** Share of what is owed to each kind that its callers must get. */
const floor = 0.38;

function play(changes: Partial<OverloadOptions>): OverloadResult {
  return simulateOverload({
    ...agency,
    hopTime: 0.45,
    duration: 7_000,
    seed: 1,
    ...changes,
  });
}

/** Share of what is owed to requests from `from` on, in seconds. */
function earnedShare(
  {kinds}: OverloadResult,
  from = 3,
  counted: readonly RequestKind[] = agency.kinds,
): number {
  let earned = 0;
  let owed = 0;
  for (const results of kinds.slice(from, 7)) {
    for (const {name, worth, lateWorth} of counted) {
      const result = results.get(name);
      if (result === undefined) continue;
      earned += result.inTime * worth + result.late * lateWorth;
      owed += result.requests * worth;
    }
  }
  return earned / owed;
}

// What was learned of callers and durations must outlive a change.
test('as much is served while the configuration changes all the time', t => {
  const steady = earnedShare(play({}));
  const changing = earnedShare(play({changePeriod: 240}));
  t.true(changing > steady - 0.03, `${changing} of ${steady}`);
});

// Their failures must not be taken for faults of the instances that call.
test('while a called service is short, callers of it get what it can serve', t => {
  const share = earnedShare(play({departures}));
  t.true(share > 0.76, String(share));
});

test('while both last, overload is served as well', t => {
  const share = earnedShare(play({departures, changePeriod: 240}));
  t.true(share > 0.7, String(share));
});

// Refusing calls must not use up the processor time that serving others needs.
test('each kind keeps its floor while processors bind beside a short service', t => {
  const result = play({departures, hopTime: 0.9});
  const shares = agency.kinds
    .filter(({rate}) => rate > 0)
    .map(kind => earnedShare(result, 3, [kind]));
  t.true(Math.min(...shares) >= floor, shares.join(', '));
});

/** What lookups earn beside `bookings` times the usual rate of bookings. */
function lookupShare(bookings: number): number {
  const kinds = sawmill.kinds.map(kind =>
    kind.name === 'kiln-book' ? {...kind, rate: kind.rate * bookings} : kind,
  );
  const lookups = kinds.filter(({name}) => name === 'stock-lookup');
  return earnedShare(play({...sawmill, kinds}), 2, lookups);
}

// A refused call fails a request that already holds a slot elsewhere.
test('calls of running requests get slots before new requests', t => {
  const calm = lookupShare(1);
  const share = lookupShare(2.5);
  t.true(share > calm - 0.03, `${share} of ${calm}`);
});

// Overload must not keep itself going by callers who return.
test('after the load has fallen all requests are served', t => {
  const loadAt = (time: number) => (time < 3_000 ? 1.5 : 0.5);
  const share = earnedShare(play({loadAt}), 4);
  t.true(share > 0.97, String(share));
});
