import test from 'ava';
import type {
  Configuration,
  Rollout,
} from '../../configuration/configuration.js';
import type {KnownInstance} from '../../endpoints/messages.js';
import {createRandom} from '../../random/random.js';
import {createOutcomeRecorder} from '../../rollouts/recorder.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {configurationOf} from '../fakes/configurations.js';
import {requestCodes} from '../messages/codes.js';
import type {PooledInstance} from './instance-pool.js';
import {createVersionChooser} from './version-choice.js';
import type {VersionSafeguards} from './version-choice.js';

const service = 'stock-desk';

function rolloutOf(parts: Partial<Rollout> = {}): Rollout {
  return {
    name: service,
    stable: ['v1'],
    order: {target: 'v2', duration: 12_000, number: 1},
    phase: 'running',
    elapsed: 0,
    share: 0.05,
    routeShares: [],
    spread: 2,
    offset: 0,
    reason: 'ordered',
    ...parts,
  };
}

function instanceOf(instance: string, version?: string): KnownInstance {
  return {
    instance,
    service,
    ...(version !== undefined && {version}),
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate: '127.0.0.1:1',
    failureDomain: 'hall-a',
    region: 'north',
    slots: 8,
    connections: 8,
    since: 0,
  };
}

function setUp(first: Rollout | undefined, safeguards?: VersionSafeguards) {
  let configuration: Configuration;
  let isConfirmed = true;
  const instances = [
    instanceOf('old-1', 'v1'),
    ...['a', 'b', 'c', 'd'].map(id => instanceOf(`new-${id}`, 'v2')),
  ];
  const observers: Array<(service: string) => void> = [];
  const timers = createFakeTimers();
  const recorder = createOutcomeRecorder(timers);
  const chooser = createVersionChooser({
    configuration: () => configuration,
    isConfirmed: () => isConfirmed,
    endpoints: {
      instances: () => instances,
      onChange: observe => void observers.push(observe),
    },
    random: createRandom(3),
    recorder,
    ...(safeguards !== undefined && {safeguards}),
  });

  function put(rollout: Rollout | undefined): void {
    configuration = configurationOf({
      services: [{name: service, slowStart: 0}],
      rollouts: rollout === undefined ? [] : [rollout],
    });
  }

  put(first);
  return {
    chooser,
    recorder,
    timers,
    put,
    confirm: (next: boolean) => void (isConfirmed = next),
    remove(id: string) {
      instances.splice(
        instances.findIndex(({instance}) => instance === id),
        1,
      );
      for (const observe of observers) observe(service);
    },
    choose: (attempts = 0, route = 'lookups') =>
      chooser.choose(service, route, attempts),
    /** Instances that the target's requests may go to. */
    targets() {
      const choice = chooser.otherwise(chooser.choose(service, 'x', 1)!);
      return instances
        .filter(each => choice?.isAllowed(each))
        .map(({instance}) => instance);
    },
  };
}

function countTargets(choose: () => {role: string} | undefined, of: number) {
  let count = 0;
  for (let left = of; left > 0; left--) {
    if (choose()?.role === 'target') count++;
  }
  return count;
}

test('a service without a roll-out may use every instance', t => {
  t.is(setUp(undefined).choose(), undefined);
});

test('the target gets its share of the requests, not more by chance', t => {
  const {choose} = setUp(rolloutOf());
  const counts = Array.from({length: 10}, () => countTargets(choose, 100));
  for (const count of counts) t.true(Math.abs(count - 5) <= 1, `${count}`);
});

test('a route with a share of its own gets that one', t => {
  const routeShares = [{route: 'rare', share: 0.5}];
  const {choose} = setUp(rolloutOf({routeShares}));
  t.is(
    countTargets(() => choose(0, 'rare'), 100),
    50,
  );
  t.true(countTargets(() => choose(0, 'lookups'), 100) <= 6);
});

// Guards against instances of a new version that come before their roll-out is
// ordered, or after it was rolled back, and get requests.
test('a version that was not ordered gets nothing', t => {
  for (const phase of ['idle', 'rolled-back'] as const) {
    const rollout = rolloutOf({phase, share: 0});
    const {choose, chooser} = setUp(rollout);
    const choice = choose()!;
    t.true(choice.isAllowed(instanceOf('old-1', 'v1')));
    t.false(choice.isAllowed(instanceOf('new-a', 'v2')));
    t.false(choice.isAllowed(instanceOf('other', 'v3')));
    t.is(chooser.otherwise(choice), undefined);
  }
});

test('after the completion only the target gets requests', t => {
  const {choose} = setUp(rolloutOf({phase: 'completed', stable: ['v2']}));
  const choice = choose()!;
  t.true(choice.isAllowed(instanceOf('new-a', 'v2')));
  t.false(choice.isAllowed(instanceOf('old-1', 'v1')));
});

test('an instance that announces no version counts as a stable one', t => {
  const {choose} = setUp(rolloutOf({phase: 'idle'}));
  t.true(choose()!.isAllowed(instanceOf('old-2')));
});

test('a second attempt goes to a stable version', t => {
  const {choose} = setUp(rolloutOf({share: 0.5}));
  t.is(
    countTargets(() => choose(1), 100),
    0,
  );
});

// Guards against a node that has lost control and goes on sending requests to a
// version that was rolled back meanwhile.
test('without a recent confirmation the target gets nothing', t => {
  const {choose, confirm} = setUp(rolloutOf({share: 0.5}));
  confirm(false);
  t.is(countTargets(choose, 100), 0);
  confirm(true);
  t.is(countTargets(choose, 100), 50);
});

test('the confirmation is what keeps the share from a node without control', t => {
  const {choose, confirm} = setUp(rolloutOf({share: 0.5}), {
    confirmation: false,
  });
  confirm(false);
  t.is(countTargets(choose, 100), 50);
});

test('while the target takes over it gets all requests and attempts', t => {
  const {choose} = setUp(rolloutOf({phase: 'switching', share: 1}));
  t.is(countTargets(choose, 10), 10);
  t.is(
    countTargets(() => choose(2), 10),
    10,
  );
});

test('a few instances take the share, and others in turn', t => {
  const {targets, put} = setUp(rolloutOf({spread: 2}));
  const first = targets();
  t.is(first.length, 2);
  put(rolloutOf({spread: 2, offset: 2}));
  const second = targets();
  t.is(second.length, 2);
  t.is(new Set([...first, ...second]).size, 4);
});

test('another instance takes the place of one that is gone', t => {
  const {targets, remove} = setUp(rolloutOf({spread: 2}));
  remove(targets()[0]!);
  t.is(targets().length, 2);
});

test('the other version takes requests that the chosen one cannot', t => {
  const {chooser, choose} = setUp(rolloutOf());
  const stable = choose(1)!;
  const target = chooser.otherwise(stable)!;
  t.is(target.role, 'target');
  t.is(chooser.otherwise(target)!.role, 'stable');
});

test('the end of an attempt is counted by version, route and instance', t => {
  const {chooser, choose, recorder, timers} = setUp(
    rolloutOf({phase: 'switching', share: 1}),
  );
  const ends = [
    [undefined, 200],
    [undefined, 500],
    [requestCodes.upstreamLost, 0],
    [requestCodes.full, 0],
    [requestCodes.callerLeft, 0],
  ] as const;
  for (const [code, status] of ends) {
    const observed = chooser.observe(pooled('new-a', 'v2'), choose()!, {
      route: 'rare',
      objective: 1_000,
    });
    observed.began();
    timers.advance(300);
    observed.ended(code, status);
  }
  const {counts} = recorder.changes(service, 1, 0);
  t.is(counts.length, 1);
  t.like(counts[0], {
    role: 'target',
    route: 'rare',
    instance: 'new-a',
    sent: 5,
    answers: 3,
    failures: 2,
  });
});

function pooled(instance: string, version: string): PooledInstance {
  return {
    announcement: instanceOf(instance, version),
    logFields: () => {
      throw new Error('not used');
    },
    updateLoad: () => {},
    updateEstimate: () => {},
    reported: () => undefined,
    updateReported: () => {},
    began: () => {},
    ended: () => {},
  };
}

// Guards against a good version that counts as slow because its instances are
// new to the node: first requests open connections and run code that is cold.
test('answers well within the objective are not told apart', t => {
  const {chooser, choose, recorder, timers} = setUp(
    rolloutOf({phase: 'switching', share: 1}),
  );
  for (const duration of [5, 60, 190]) {
    const observed = chooser.observe(pooled('new-a', 'v2'), choose()!, {
      route: 'lookups',
      objective: 1_000,
    });
    observed.began();
    timers.advance(duration);
    observed.ended(undefined, 200);
  }
  const {counts} = recorder.changes(service, 1, 0);
  t.is(counts[0]?.durations.length, 2);
});
