import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createEndpointTable} from './endpoint-table.js';
import type {KnownInstance} from './messages.js';

function known(fields: Partial<KnownInstance> = {}): KnownInstance {
  return {
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
  };
}

const many = (count: number) =>
  Array.from({length: count}, (_, index) =>
    known({instance: `crewbook-${index}`}),
  );

test('an outdated record from another home does not restore an instance that is gone', t => {
  // The node's home crashes. The next home lags behind and still lists an
  // instance as serving that is gone in the node's table. Without the order of
  // announcements, the later message would win and the node would send work there.
  for (const order of [false, true]) {
    const timers = createFakeTimers();
    const table = createEndpointTable({timers, safeguards: {order}});
    table.mergeDelta([known({sequence: 3, state: 'gone'})]);
    table.mergeSection('crewbook', true, [known({sequence: 2})]);
    t.is(table.instances('crewbook').length, order ? 0 : 1);
  }
});

test("a home that restarted with an empty table does not empty its nodes' tables", t => {
  // A home restarts, and few instances are announced there when it counts as
  // complete. If more instances are absent than the share allows, they are kept
  // as suspects; a single absent instance is removed.
  for (const expiryShare of [1, 0.25]) {
    const timers = createFakeTimers();
    const table = createEndpointTable({timers, expiryShare});
    table.mergeSection('crewbook', true, many(8));
    table.mergeSection('crewbook', false, many(3));
    t.is(table.instances('crewbook').length, 8);
    table.mergeSection('crewbook', true, many(3));
    const remaining = table.instances('crewbook');
    t.is(remaining.length, expiryShare === 1 ? 3 : 8);
    t.is(
      remaining.filter(one => one.suspect).length,
      expiryShare === 1 ? 0 : 5,
    );

    table.mergeSection('crewbook', true, many(8));
    t.is(table.instances('crewbook').filter(one => one.suspect).length, 0);
    table.mergeSection('crewbook', true, many(7));
    t.is(table.instances('crewbook').length, 7);
  }
});

test('suspects that no home lists again are removed after the retention time', t => {
  const timers = createFakeTimers();
  const table = createEndpointTable({timers, absentRetention: 1000});
  table.mergeSection('crewbook', true, many(8));
  table.mergeSection('crewbook', true, []);
  timers.advance(1000);
  table.sweep();
  t.deepEqual(table.instances('crewbook'), []);
  t.is(table.size(), 0);
});

test('equal tables have equal digests in whatever order they were filled', t => {
  const timers = createFakeTimers();
  const left = createEndpointTable({timers});
  const right = createEndpointTable({timers});
  left.mergeDelta(many(5));
  left.mergeDelta([known({instance: 'crewbook-2', sequence: 2})]);
  right.mergeDelta([known({instance: 'crewbook-2', sequence: 2})]);
  t.notDeepEqual(left.digest(), right.digest());
  right.mergeDelta(many(5).reverse());
  t.deepEqual(left.digest(), right.digest());
  left.mergeDelta([
    known({instance: 'crewbook-2', sequence: 3, state: 'gone'}),
  ]);
  t.notDeepEqual(left.digest(), right.digest());
});

test('an instance that changes its service is removed from the first service', t => {
  const table = createEndpointTable({timers: createFakeTimers()});
  const changed: string[] = [];
  table.mergeDelta([known()]);
  table.onChange(service => changed.push(service));
  table.mergeDelta([known({sequence: 2, service: 'drillvault'})]);
  t.deepEqual(changed.sort(), ['crewbook', 'drillvault']);
  t.deepEqual(table.instances('crewbook'), []);
  t.is(table.instances('drillvault').length, 1);
});

test('instances that left together are removed although their delta was lost', t => {
  // Five of eight instances leave in one delta, and that delta is lost. If the
  // section sent afterwards merely omitted them, the node would keep them as
  // suspects for minutes and send them work. The section lists them as gone.
  for (const tombstones of [false, true]) {
    const table = createEndpointTable({timers: createFakeTimers()});
    table.mergeSection('crewbook', true, many(8));
    const gone = many(8).slice(3);
    const listed = gone.map(one => ({
      ...one,
      sequence: 2,
      state: 'gone' as const,
    }));
    table.mergeSection('crewbook', true, [
      ...many(3),
      ...(tombstones ? listed : []),
    ]);
    t.is(table.instances('crewbook').length, tombstones ? 3 : 8);
  }
});
