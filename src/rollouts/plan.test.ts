import test from 'ava';
import type {Rollout} from '../configuration/configuration.js';
import type {Verdict} from './analysis.js';
import {bucketOf} from './duration-buckets.js';
import {noOutcomes} from './evidence.js';
import type {RouteOutcomes, RouteTable} from './evidence.js';
import {planRollout} from './plan.js';
import type {PlanInput} from './plan.js';

const unremarkable: Verdict = {kind: 'unremarkable', reason: 'nothing'};
const bad: Verdict = {kind: 'bad', reason: '9 of 20 answers failed'};
const suspect: Verdict = {kind: 'suspect', reason: '3 of 20 answers failed'};
const duration = 12_000;

function rolloutOf(parts: Partial<Rollout> = {}): Rollout {
  return {
    name: 'stock-desk',
    stable: ['v1'],
    order: {target: 'v2', duration, number: 1},
    phase: 'running',
    elapsed: 0,
    share: 0,
    routeShares: [],
    spread: 0,
    offset: 0,
    reason: 'ordered',
    ...parts,
  };
}

/** Outcomes of a route; answers of the stable versions last 300 ms. */
function routeOf(stable: number, target: number): RouteOutcomes {
  const old = noOutcomes();
  old.sent = old.answers = stable;
  old.durations[bucketOf(300)] = stable;
  const outcomes = noOutcomes();
  outcomes.sent = outcomes.answers = target;
  return {stable: old, targets: new Map([['new-1', outcomes]])};
}

function inputOf(parts: Partial<PlanInput> = {}): PlanInput {
  return {
    rollout: rolloutOf(),
    elapsed: 3_000,
    table: new Map([['lookups', routeOf(600, 0)]]),
    verdict: unremarkable,
    target: {instances: 20, slots: 160},
    stable: {instances: 20, slots: 160},
    hasTargetAppeared: true,
    isTakenOver: false,
    limits: {share: 0.1, slack: 50},
    ...parts,
  };
}

const shareOf = (next: Rollout | undefined, route: string) =>
  next?.routeShares.find(each => each.route === route)?.share;

test('without an instance the target gets no share', t => {
  const target = {instances: 0, slots: 0};
  const next = planRollout(inputOf({target, elapsed: 2_000}));
  t.like(next, {phase: 'running', share: 0, routeShares: []});
});

test('what the target gets until the switch is a part of its allowance', t => {
  const next = planRollout(inputOf())!;
  const perSecond = 200;
  const left = 8;
  const allowance = 0.1 * perSecond * (duration / 1_000) + 50;
  const planned = shareOf(next, 'lookups')! * perSecond * left;
  t.true(planned > 0.2 * allowance, `${planned} of ${allowance}`);
  t.true(planned < 0.45 * allowance, `${planned} of ${allowance}`);
});

test('a route with few requests gets a greater share', t => {
  const table: RouteTable = new Map([
    ['lookups', routeOf(540, 0)],
    ['issues', routeOf(60, 0)],
  ]);
  const next = planRollout(inputOf({table}))!;
  t.true(shareOf(next, 'issues')! > 4 * shareOf(next, 'lookups')!);
});

// Guards against a version that is tried on with no end to what it may get.
test('a target that has got its part is tried no more', t => {
  const table: RouteTable = new Map([['lookups', routeOf(480, 120)]]);
  const rollout = rolloutOf({share: 0.2, elapsed: 1_000});
  const next = planRollout(inputOf({table, rollout}))!;
  t.true(shareOf(next, 'lookups')! < 0.005);
  const unlimited = planRollout(inputOf({table, rollout}), {
    budget: false,
    takeover: true,
    verdict: true,
  })!;
  t.is(shareOf(unlimited, 'lookups'), 0.5);
});

test('a bad target is rolled back in any phase', t => {
  for (const phase of ['running', 'switching'] as const) {
    const rollout = rolloutOf({phase, share: 1});
    const next = planRollout(inputOf({rollout, verdict: bad}));
    t.like(next, {phase: 'rolled-back', share: 0, reason: bad.reason});
    t.deepEqual(next?.stable, ['v1']);
  }
});

test('without a verdict a bad target would go on', t => {
  const safeguards = {budget: true, takeover: true, verdict: false};
  const next = planRollout(inputOf({verdict: bad}), safeguards);
  t.is(next?.phase, 'running');
});

const tried: RouteTable = new Map([['lookups', routeOf(2_000, 60)]]);

test('near the deadline a good target gets a third, then everything', t => {
  const late = inputOf({elapsed: 10_900, table: tried});
  const wide = planRollout(late)!;
  t.like(wide, {phase: 'running', share: 0.35, spread: 20});
  t.is(planRollout({...late, rollout: wide, elapsed: 11_200}), undefined);
  const all = planRollout({...late, rollout: wide, elapsed: 11_600});
  t.like(all, {phase: 'switching', share: 1});
});

test('a suspect target waits, and is rolled back at the deadline', t => {
  const input = inputOf({elapsed: 11_000, table: tried, verdict: suspect});
  t.is(planRollout(input)?.phase, 'running');
  const next = planRollout({...input, elapsed: duration});
  t.like(next, {phase: 'rolled-back', reason: suspect.reason});
});

test('a target without the capacity does not take over', t => {
  const target = {instances: 5, slots: 40};
  const input = inputOf({elapsed: duration, table: tried, target});
  const next = planRollout(input);
  t.is(next?.phase, 'rolled-back');
  t.regex(next!.reason, /40 slots where 160 are in use/);
});

test('a target that never came is rolled back at the deadline', t => {
  const target = {instances: 0, slots: 0};
  const input = inputOf({elapsed: duration, target, hasTargetAppeared: false});
  t.regex(planRollout(input)!.reason, /no instance of the target has come/);
});

test('a target without enough answers does not take over', t => {
  const table: RouteTable = new Map([['lookups', routeOf(2_000, 5)]]);
  const next = planRollout(inputOf({elapsed: duration, table}));
  t.is(next?.phase, 'rolled-back');
  t.regex(next!.reason, /answered 5 requests, too few/);
});

test('a service with few requests needs few answers', t => {
  const table: RouteTable = new Map([['lookups', routeOf(40, 4)]]);
  const next = planRollout(inputOf({elapsed: 11_500, table}));
  t.is(next?.share, 0.35);
});

// Guards against old instances that are stopped while they have work.
test('it completes when the target has taken over, not before', t => {
  const rollout = rolloutOf({phase: 'switching', share: 1});
  t.is(planRollout(inputOf({rollout})), undefined);
  const next = planRollout(inputOf({rollout, isTakenOver: true}));
  t.like(next, {phase: 'completed', share: 1});
  t.deepEqual(next?.stable, ['v2']);
  const safeguards = {budget: true, takeover: false, verdict: true};
  t.is(planRollout(inputOf({rollout}), safeguards)?.phase, 'completed');
});

test('a target whose instances are lost while it takes over is rolled back', t => {
  const rollout = rolloutOf({phase: 'switching', share: 1});
  const target = {instances: 0, slots: 0};
  t.is(planRollout(inputOf({rollout, target}))?.phase, 'rolled-back');
});

test('the state is put once a second even if it does not change', t => {
  const first = planRollout(inputOf())!;
  const again = {rollout: first, elapsed: 3_500};
  t.is(planRollout(inputOf(again)), undefined);
  t.is(planRollout(inputOf({...again, elapsed: 4_100}))?.elapsed, 4_100);
});
