import test from 'ava';
import {createAnnouncer} from '../endpoints/announcer.js';
import {upstream} from '../endpoints/fakes/mesh.js';
import {createSilentLog} from '../log/log.js';
import type {UpstreamReport} from '../request/decisions/upstream-report.js';
import {stockConfiguration} from '../request/fakes/configurations.js';
import {createGate} from '../request/gate.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createUpstreamGate} from './upstream-gate.js';

/** A node; `reports` are those that its gates were created with. */
function startNode() {
  const timers = createFakeTimers(1_000_000);
  const log = createSilentLog();
  const announcer = createAnnouncer({
    name: 'crewbook-1',
    gate: '10.0.0.1:7000',
    failureDomain: 'hall-a',
    region: 'astana',
    timers,
    log,
  });
  const reports: UpstreamReport[] = [];
  const gate = createUpstreamGate({
    announcer,
    stopDeadline: 1_000,
    timers,
    log,
    create: ({instance, service, slots, connections}, {address}, report) => {
      reports.push(report);
      return createGate({
        instance,
        service,
        upstream: address,
        slots,
        connections,
        queueLength: 1,
        configuration: () => stockConfiguration,
        claims: undefined,
        report,
        timers,
        log,
      });
    },
  });
  return {announcer, gate, reports};
}

test('a limit outlives a gate that is replaced while its upstream keeps running', t => {
  // A changed number of slots or connections creates a new gate.
  const {announcer, gate, reports} = startNode();
  announcer.announce(upstream({started: 1, slots: 4}));
  reports[0]!.apply({limit: 5, leaving: 'no'});
  announcer.announce(upstream({started: 1, slots: 8}));
  t.is(reports.length, 2);
  t.is(gate.reported?.limit, 5);
});

test('a limit ends with the process that named it', t => {
  // Otherwise the word of an instance binds the next one at its address.
  const {announcer, gate, reports} = startNode();
  announcer.announce(upstream({started: 1}));
  reports[0]!.apply({limit: 5, leaving: 'no'});
  announcer.announce(upstream({started: 2}));
  t.is(gate.reported, undefined);
  reports[0]!.apply({limit: 3, leaving: 'no'});
  t.is(gate.reported, undefined);
});

test('reported slots and durations end with the process that reported them', t => {
  // The next process may have fewer slots, and would be given too many calls.
  const {announcer, reports} = startNode();
  const load = {running: 0, waiting: 0, slots: 16, pace: 0.5};
  announcer.announce(upstream({started: 1}));
  reports[0]!.apply({limit: 'none', leaving: 'no', load});
  t.is(reports[0]!.capacity.slots, 16);
  announcer.announce(upstream({started: 2}));
  reports[0]!.apply({limit: 'none', leaving: 'no', load});
  t.is(reports[1]!.capacity.slots, undefined);
  t.is(reports[1]!.capacity.pace, 1);
});

test('an upstream that does not name its process is another one after it was gone', t => {
  const {announcer, gate, reports} = startNode();
  announcer.announce(upstream());
  reports[0]!.apply({limit: 5, leaving: 'no'});
  announcer.setReachable(false);
  announcer.setReachable(true);
  t.is(reports.length, 2);
  t.is(gate.reported, undefined);
});

test('a reported shutdown holds until the process ends', t => {
  const {announcer, gate, reports} = startNode();
  const states: string[] = [];
  announcer.onChange(({state}) => states.push(state));
  announcer.announce(upstream({started: 1}));
  reports[0]!.apply({limit: 'none', leaving: 'yes'});
  announcer.announce(upstream({started: 1}));
  t.is(states.at(-1), 'draining');
  t.true(gate.reported?.leaving);
  announcer.announce(upstream({started: 2}));
  reports[0]!.apply({limit: 'none', leaving: 'yes'});
  t.is(states.at(-1), 'warming');
  t.is(gate.reported, undefined);
});
