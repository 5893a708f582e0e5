import test from 'ava';
import {simulateLimits} from './simulation.js';
import type {LimitedService} from './simulation.js';

const service: LimitedService = {
  entries: 12,
  instances: 9,
  slots: 8,
  work: 60,
  objective: 250,
  load: 0.5,
  limited: 3,
  limitShare: 0.25,
  duration: 10_000,
};

// Before gates reported a full load at their limit, 0.60 were in time and 1.31
// attempts were made per request; after it 0.98 and 1.12, without limits 0.98
// and 1.
test('requests that limited instances do not take are in time at the others', t => {
  for (const seed of [1, 2, 3]) {
    const {inTime} = simulateLimits(service, seed);
    const without = simulateLimits({...service, limited: 0}, seed);
    t.true(inTime >= without.inTime - 0.02, `${inTime}, seed ${seed}`);
  }
});

test('limited instances are used up to their limit when the others are busy', t => {
  for (const seed of [1, 2, 3]) {
    const {used, worstWindow} = simulateLimits({...service, load: 0.8}, seed);
    t.true(used >= 0.95, `${used} of the limit, seed ${seed}`);
    t.true(worstWindow <= 1, `${worstWindow} of what is allowed, seed ${seed}`);
  }
});

// With tokens in use as the only measure, 0.84 were served; an instance without
// limits and with the same capacity as is left serves 0.91.
test('with limits, callers are served as by unlimited instances of the same capacity', t => {
  const busy = {
    ...service,
    speeds: [0.5, 1, 1, 1.5],
    load: 0.65,
    limited: 4,
    limitShare: 0.35,
  };
  // 4 of 8.5 parts of the speed are limited.
  const left = (4.5 + 4 * busy.load * busy.limitShare) / 8.5;
  for (const seed of [1, 2, 3]) {
    const {served} = simulateLimits(busy, seed);
    const load = busy.load / left;
    const without = simulateLimits({...busy, limited: 0, load}, seed);
    t.true(
      served >= without.served - 0.03,
      `${served}, ${without.served} without, seed ${seed}`,
    );
  }
});

test('if all instances have limits, as many requests are served as these allow', t => {
  const all = {...service, load: 0.6, limited: 9, limitShare: 0.5};
  for (const seed of [1, 2, 3]) {
    const {served} = simulateLimits(all, seed);
    t.true(served >= 0.97 * all.limitShare, `${served} served, seed ${seed}`);
  }
});
