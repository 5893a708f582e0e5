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

test('an old copy from another home does not bring an instance back', t => {
  // The node's home dies; the next one lags behind and still has an instance
  // as serving that the node knows to be gone. Without the order the node
  // would believe the later message and send work to it.
  for (const order of [false, true]) {
    const timers = createFakeTimers();
    const table = createEndpointTable({timers, safeguards: {order}});
    table.mergeDelta([known({sequence: 3, state: 'gone'})]);
    table.mergeSection('crewbook', true, [known({sequence: 2})]);
    t.is(table.instances('crewbook').length, order ? 0 : 1);
  }
});

test('a home that came back empty does not empty its nodes', t => {
  // A home restarts and has heard from few instances when it counts itself
  // complete. What is missing beyond the share is kept as suspect; one that
  // is missing alone is dropped.
  for (const expiryShare of [1, 0.25]) {
    const timers = createFakeTimers();
    const table = createEndpointTable({timers, expiryShare});
    table.mergeSection('crewbook', true, many(8));
    table.mergeSection('crewbook', false, many(3));
    t.is(table.instances('crewbook').length, 8);
    table.mergeSection('crewbook', true, many(3));
    const left = table.instances('crewbook');
    t.is(left.length, expiryShare === 1 ? 3 : 8);
    t.is(left.filter(one => one.suspect).length, expiryShare === 1 ? 0 : 5);

    table.mergeSection('crewbook', true, many(8));
    t.is(table.instances('crewbook').filter(one => one.suspect).length, 0);
    table.mergeSection('crewbook', true, many(7));
    t.is(table.instances('crewbook').length, 7);
  }
});

test('suspects that nobody lists again are dropped in the end', t => {
  const timers = createFakeTimers();
  const table = createEndpointTable({timers, absentRetention: 1000});
  table.mergeSection('crewbook', true, many(8));
  table.mergeSection('crewbook', true, []);
  timers.advance(1000);
  table.sweep();
  t.deepEqual(table.instances('crewbook'), []);
  t.is(table.size(), 0);
});

test('equal tables have equal digests whatever way they were filled', t => {
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

test('an instance that changes its service leaves the first', t => {
  const table = createEndpointTable({timers: createFakeTimers()});
  const changed: string[] = [];
  table.mergeDelta([known()]);
  table.onChange(service => changed.push(service));
  table.mergeDelta([known({sequence: 2, service: 'drillvault'})]);
  t.deepEqual(changed.sort(), ['crewbook', 'drillvault']);
  t.deepEqual(table.instances('crewbook'), []);
  t.is(table.instances('drillvault').length, 1);
});

test('instances that left together go though their delta was lost', t => {
  // Five of eight instances leave within one delta, and that delta is lost.
  // If the section that mends it only lacked them, the node would hold them
  // back as suspects for minutes and send them work. It lists them as gone.
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
