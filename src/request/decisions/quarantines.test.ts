import test from 'ava';
import type {Quarantine} from '../../configuration/configuration.js';
import {bookingOf, callOf} from '../fakes/calls.js';
import {configurationOf, stockConfiguration} from '../fakes/configurations.js';
import type {Call} from '../messages/call.js';
import {createQuarantines} from './quarantines.js';
import {suspectsOf} from './request-digest.js';

/** The quarantine that results from a crash during `call`. */
function quarantineOf(call: Call): Quarantine {
  const [suspect] = suspectsOf([call]);
  return {...suspect!, state: 'held', since: 0, ended: [], trials: 0};
}

function isFound(quarantined: Call, call: Call): boolean {
  const configuration = configurationOf({
    quarantines: [quarantineOf(quarantined)],
  });
  return createQuarantines(() => configuration).find(call) !== undefined;
}

test('a resent request is matched despite a different id, key and deadline', t => {
  const booking = bookingOf({key: 'k-1'});
  const again = bookingOf({id: 'entry-2', key: 'k-2', deadline: 9_000});
  t.true(isFound(booking, again));
});

test('a different caller, path, method, host or body is a different request', t => {
  const booking = bookingOf({caller: 'records'});
  const others: Array<Partial<Call>> = [
    {caller: 'drillvault'},
    {path: '/bookings?page=2'},
    {method: 'PUT'},
    {headers: ['Host', 'other.example']},
    {body: {kind: 'whole', bytes: Buffer.from('hook')}},
    {body: {kind: 'none'}},
  ];
  for (const changes of others) {
    t.false(isFound(booking, bookingOf({caller: 'records', ...changes})));
  }
});

test('all IP addresses count as the same host', t => {
  const at = (host: string) => callOf({headers: ['Host', host]});
  t.true(isFound(at('10.0.0.1:80'), at('10.0.0.2:80')));
  t.true(isFound(at('Records.example'), at('records.example:8080')));
  t.false(isFound(at('records.example'), at('10.0.0.1:80')));
});

test('without a configuration or a quarantine no request is matched', t => {
  t.is(createQuarantines(() => undefined).find(callOf()), undefined);
  const none = createQuarantines(() => stockConfiguration);
  t.is(none.find(callOf()), undefined);
  t.false(none.mayMatch(callOf()));
});

test('the quarantines of a new configuration apply immediately', t => {
  let configuration = configurationOf({quarantines: [quarantineOf(callOf())]});
  const quarantines = createQuarantines(() => configuration);
  t.truthy(quarantines.find(callOf()));
  configuration = configurationOf({quarantines: [quarantineOf(bookingOf())]});
  t.is(quarantines.find(callOf()), undefined);
  t.true(quarantines.mayMatch(bookingOf({body: {kind: 'none'}})));
});
