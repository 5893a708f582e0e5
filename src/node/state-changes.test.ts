import test from 'ava';
import {stockConfiguration} from '../request/fakes/configurations.js';
import {
  announcementOf,
  createFakeEndpoints,
} from '../request/fakes/fake-endpoints.js';
import type {Configuration} from '../configuration/configuration.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {logStateChanges} from './state-changes.js';

const homeAddress = '10.1.0.42:7475';

function setUp() {
  const {log, lines} = createRecordedLog();
  const timers = createFakeTimers(60_000);
  const endpoints = createFakeEndpoints();
  const configurations: Array<(configuration: Configuration) => void> = [];
  const announcements: Array<
    (announcement: ReturnType<typeof announcementOf>) => void
  > = [];
  logStateChanges({
    announcer: {onChange: observe => void announcements.push(observe)},
    endpoints,
    onConfiguration: observe => void configurations.push(observe),
    home: {address: () => homeAddress},
    timers,
    log,
  });
  return {lines, timers, endpoints, configurations, announcements};
}

test('an instance is logged when it appears, changes its state and disappears', t => {
  const {lines, endpoints} = setUp();
  endpoints.put(announcementOf({instance: 'a', since: 59_000}));
  endpoints.put(announcementOf({instance: 'a', since: 59_000}));
  endpoints.put(announcementOf({instance: 'a', state: 'draining'}));
  endpoints.remove('stock-desk', 'a');
  t.deepEqual(
    lines.map(({message, fields}) => [message, fields.state]),
    [
      ['instance', 'serving'],
      ['instance', 'draining'],
      ['instance gone', undefined],
    ],
  );
  t.is(lines[0]?.fields.stateAge, 1_000);
});

test('a configuration that comes into force is logged with its version and home', t => {
  const {lines, configurations} = setUp();
  configurations[0]!(stockConfiguration);
  t.is(lines[0]?.message, 'configuration in force');
  t.is(lines[0]?.fields.version, stockConfiguration.version);
  t.is(lines[0]?.fields.home, homeAddress);
});

test('a configuration is logged however many changes of instances come with it', t => {
  const {lines, endpoints, configurations} = setUp();
  for (let count = 0; count < 1_000; count++) {
    endpoints.put(announcementOf({instance: `i-${count}`}));
  }
  configurations[0]!(stockConfiguration);
  t.is(lines.at(-1)?.message, 'configuration in force');
});

test('an announcement of the node’s own upstream is logged', t => {
  const {lines, announcements} = setUp();
  announcements[0]!(announcementOf({state: 'warming'}));
  t.is(lines[0]?.message, 'own upstream');
  t.is(lines[0]?.fields.state, 'warming');
});

test('changes beyond the rate limit are counted instead of logged', t => {
  const {lines, timers, endpoints} = setUp();
  for (let count = 0; count < 1_000; count++) {
    endpoints.put(announcementOf({instance: `i-${count}`}));
  }
  t.is(lines.length, 200);
  timers.advance(1_000);
  t.is(lines.at(-1)?.fields.count, 800);
});
