import test from 'ava';
import {createLoggedMachine, createSampleMachine} from './fakes/sample.js';
import {createDepartureTable} from './departures.js';
import type {Departure} from './departures.js';

const left: Departure = {
  instance: 'node-1',
  identity: 'i-1',
  started: 1_000,
  state: 'gone',
  sequence: 7,
};
const draining: Departure = {...left, state: 'draining', sequence: 5};

function tableOf(...departures: readonly Departure[]) {
  const table = createDepartureTable();
  for (const departure of departures) table.record(departure, 100);
  return table;
}

test('the latest departure of a process is kept, in whatever order they come', t => {
  t.deepEqual(tableOf(draining, left).all(), [left]);
  t.deepEqual(tableOf(left, draining).all(), [left]);
  const again = {...draining, sequence: 9};
  t.deepEqual(tableOf(again, draining).all(), [again]);
  t.deepEqual(tableOf(draining, again).all(), [again]);
});

test('processes of one identity are told apart by their start, whichever is later', t => {
  const other = {...draining, started: 2_000};
  t.deepEqual(tableOf(left, other).all(), [left, other]);
  t.deepEqual(tableOf(other, left).all(), [other, left]);
});

test('the oldest departures are dropped, and an instance can not displace those of others', t => {
  const table = createDepartureTable();
  const departureOf = (instance: string, number: number) => ({
    ...left,
    instance,
    identity: `i-${number}`,
  });
  table.record(departureOf('node-1', 0), 100);
  for (let number = 0; number < 200; number++)
    table.record(departureOf('node-2', number), 100);
  t.is(table.of('node-1').length, 1);
  t.deepEqual(
    table.of('node-2').map(({identity}) => identity),
    Array.from({length: 16}, (_none, index) => `i-${184 + index}`),
  );
  for (let number = 0; number < 100; number++)
    table.record(departureOf(`node-${3 + number}`, 0), 100);
  t.is(table.all().length, 100);
  t.is(table.of('node-1').length, 0);
});

test('departures outlive a snapshot and do not change the version', t => {
  const {machine, log, edit} = createLoggedMachine();
  edit([{action: 'put', item: {kind: 'service', value: service}}]);
  const {version} = machine.current();
  let changes = 0;
  machine.onChange(() => changes++);
  const entry = machine.prepareDeparture(left, 0);
  machine.apply(log.length + 1, entry);
  t.deepEqual(machine.departures().of('node-1'), [left]);
  t.is(machine.current().version, version);
  t.is(changes, 0);

  const restored = createSampleMachine();
  restored.restore(log.length + 1, machine.snapshot());
  t.deepEqual(restored.departures().of('node-1'), [left]);
  t.is(restored.digest(), machine.digest());
});

const service = {name: 'crewbook', slowStart: 0};
