import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {equalDigests} from './digest.js';
import type {Announcement, EndpointRecord} from './messages.js';
import {createRecordStore} from './record-store.js';
import {allSafeguards} from './safeguards.js';

function record(fields: Partial<Announcement> = {}): EndpointRecord {
  return {
    announcement: {
      instance: 'crewbook-1',
      service: 'crewbook',
      incarnation: 1,
      sequence: 1,
      state: 'serving',
      gate: '10.0.0.1:7000',
      failureDomain: 'hall-a',
      region: 'astana',
      slots: 10,
      connections: 130,
      since: 0,
      ...fields,
    },
    home: 'home-a',
    homeRegion: 'astana',
    expired: false,
    goneFor: 0,
  };
}

function start(limit = 100) {
  const timers = createFakeTimers();
  const store = createRecordStore({
    timers,
    limit,
    tombstoneRetention: 1000,
    safeguards: allSafeguards,
  });
  return {timers, store};
}

test('reordered and duplicated records result in the same table', t => {
  const records = [
    record(),
    record({sequence: 2, state: 'draining'}),
    record({sequence: 3, state: 'gone'}),
    record({incarnation: 2}),
    record({instance: 'crewbook-2', service: 'drillvault'}),
  ];
  const forward = start().store;
  const backward = start().store;
  for (const one of records) forward.merge(one);
  for (const one of [...records, ...records].reverse()) backward.merge(one);
  t.true(equalDigests(forward.root(), backward.root()));
  t.true(equalDigests(forward.viewDigest(), backward.viewDigest()));
  t.deepEqual(forward.bucketDigests(), backward.bucketDigests());
  t.is(forward.get('crewbook-1')!.announcement.incarnation, 2);
});

test('a suspect changes the digest for nodes but not the digest for homes', t => {
  const {store} = start();
  store.merge(record());
  const [root, view] = [store.root(), store.viewDigest()];
  store.setSuspect('crewbook-1', true);
  t.deepEqual(store.root(), root);
  t.notDeepEqual(store.viewDigest(), view);
  store.setSuspect('crewbook-1', false);
  t.deepEqual(store.viewDigest(), view);
});

test('a tombstone is excluded from the digests before it is removed', t => {
  // Two homes remove a tombstone some seconds apart. If the digests included it
  // until then, the home that still has it would send it back to the other, and
  // it would never disappear.
  const {timers, store} = start();
  const empty = store.root();
  store.merge(record({state: 'gone'}));
  t.notDeepEqual(store.root(), empty);
  timers.advance(500);
  store.sweep();
  t.deepEqual(store.root(), empty);
  t.deepEqual(store.summaries([store.bucketOf('crewbook')]), []);
  t.false(store.merge(record()));
  timers.advance(500);
  store.sweep();
  t.is(store.size(), 0);
});

test('a tombstone from another home keeps its age', t => {
  const {store} = start();
  store.merge({...record({state: 'gone'}), goneFor: 600});
  t.is(store.record(store.get('crewbook-1')!).goneFor, 600);
  t.false(store.get('crewbook-1')!.inDigests);
});

test('a full table accepts no new instances but still updates existing ones', t => {
  const {store} = start(2);
  t.true(store.merge(record({instance: 'a'})));
  t.true(store.merge(record({instance: 'b'})));
  t.false(store.merge(record({instance: 'c'})));
  t.true(store.merge(record({instance: 'a', sequence: 2, state: 'gone'})));
  t.is(store.size(), 2);
});
