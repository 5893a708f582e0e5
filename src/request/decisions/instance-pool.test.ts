import test from 'ava';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createPowerOfTwoBalancer} from './balancer.js';
import {requestCodes} from '../messages/codes.js';
import {configurationOf, stockConfiguration} from '../fakes/configurations.js';
import {announcementOf, createFakeEndpoints} from '../fakes/fake-endpoints.js';
import {createInstancePool} from './instance-pool.js';
import type {CallSize, PooledInstance, InstancePoolOptions} from './instance-pool.js';

function stage(names: readonly string[], changes: Partial<InstancePoolOptions> = {}) {
  const timers = createFakeTimers(1_000_000);
  const endpoints = createFakeEndpoints();
  for (const instance of names) endpoints.put(announcementOf({instance}));
  const peers = createInstancePool({
    failureDomain: 'rusayl-a',
    endpoints,
    balancer: createPowerOfTwoBalancer(createRandom(3)),
    timers,
    log: createSilentLog(),
    ...changes,
  });
  function choose(
    configuration = stockConfiguration,
    tried: string[] = [],
    size: CallSize = 'small',
  ) {
    return peers.choose('stock-desk', configuration, new Set(tried), size);
  }
  /** How often each is chosen in a hundred calls that are answered at once. */
  function shares(answer = (peer: PooledInstance) => peer.ended(undefined, 200)) {
    const counts: Record<string, number> = {};
    for (let call = 0; call < 100; call++) {
      const peer = choose()!;
      const {instance} = peer.announcement;
      counts[instance] = (counts[instance] ?? 0) + 1;
      peer.began();
      answer(peer);
    }
    return counts;
  }
  return {timers, endpoints, choose, shares};
}

test('an instance that drains, is drained or is gone gets nothing', t => {
  const {endpoints, choose} = stage(['a', 'b', 'c']);
  endpoints.put(announcementOf({instance: 'a', state: 'draining'}));
  endpoints.remove('stock-desk', 'b');
  const drains = [{name: 'c', service: 'stock-desk'}];
  t.is(choose()!.announcement.instance, 'c');
  t.is(choose(configurationOf({drains})), undefined);
});

test('an instance that refused as leaving is passed by until its word comes', t => {
  const {timers, choose, shares} = stage(['a', 'b']);
  const peer = choose(stockConfiguration, ['b'])!;
  peer.began();
  peer.ended(requestCodes.draining, 0);
  t.deepEqual(shares(), {b: 100});
  timers.advance(2_000);
  t.true(shares()['a']! > 0);
});

test('a new life of an instance does not answer for its last one', t => {
  const {endpoints, choose, shares} = stage(['a', 'b']);
  const peer = choose(stockConfiguration, ['b'])!;
  peer.began();
  peer.ended(requestCodes.stopping, 0);
  endpoints.put(announcementOf({instance: 'a', incarnation: 2}));
  t.true(shares()['a']! > 0);
});

test('an instance that fails at once draws no work by looking idle', t => {
  // Its health answers are good and its failures quick, so it has the least
  // work of all. Each entry sends too little to it to eject it soon.
  const {shares, choose} = stage(['a', 'b', 'c'], {
    ejection: {failures: 1_000},
  });
  const {announcement} = choose(stockConfiguration, ['b', 'c'])!;
  t.is(announcement.instance, 'a');
  const counts = shares(peer => {
    const fails = peer.announcement.instance === 'a';
    peer.ended(undefined, fails ? 500 : 200);
  });
  t.true((counts['a'] ?? 0) <= 2, JSON.stringify(counts));
});

test('an instance that fails in a row is ejected, but never the last one', t => {
  const {choose, shares} = stage(['a', 'b']);
  shares(peer => {
    const fails = peer.announcement.instance === 'a';
    peer.ended(fails ? requestCodes.upstreamLost : undefined, 200);
  });
  const alone = stage(['a']);
  alone.shares(peer => peer.ended(requestCodes.upstreamLost, 0));
  t.is(alone.choose()!.announcement.instance, 'a');
  t.is(choose()!.announcement.instance, 'b');
});

test('a retry goes to an instance that was not tried, if there is one', t => {
  const {choose} = stage(['a', 'b']);
  t.is(choose(stockConfiguration, ['a'])!.announcement.instance, 'b');
  t.truthy(choose(stockConfiguration, ['a', 'b']));
});

// One load for all: lookups leave an instance whose slots are free since its
// link is full of archives, or archives run on to a link that is full.
test('a gate that is full for large calls alone still gets the small ones', t => {
  const {choose, shares} = stage(['a', 'b']);
  const chooseLarge = (tried: string[] = []) =>
    choose(stockConfiguration, tried, 'large')!;
  chooseLarge(['b']).updateLoad(3);
  choose(stockConfiguration, ['a'])!.updateLoad(1);
  t.is(shares()['a'], 100);
  for (let call = 0; call < 20; call++) {
    t.is(chooseLarge().announcement.instance, 'b');
  }
});
