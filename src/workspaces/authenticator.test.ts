import test from 'ava';
import type {Configuration} from '../configuration/configuration.js';
import {createAuthenticator} from './authenticator.js';
import type {KeyState} from './authenticator.js';
import {
  keyedRoute,
  openRoute,
  workspaceOf,
  workspacesOf,
} from './fakes/configurations.js';

const millers = workspaceOf('millers', ['key-1', 'key-2']);

function setUp(state: KeyState = 'confirmed') {
  const authenticator = createAuthenticator({
    scheme: 'Bearer',
    keyState: () => state,
  });
  const ask = (
    configuration: Configuration,
    access: 'keyed' | 'open',
    ...authorization: string[]
  ) => {
    const route = access === 'keyed' ? keyedRoute : openRoute;
    const credentials = {route, authorization};
    const result = authenticator.authenticate(configuration, credentials);
    if (result.kind === 'refused') return result.reason;
    return result.workspace?.name ?? 'anonymous';
  };
  return {authenticator, ask};
}

test('each key of a workspace identifies it', t => {
  const {ask} = setUp();
  const bakers = workspaceOf('bakers', ['key-3']);
  const configuration = workspacesOf(millers, bakers);
  t.is(ask(configuration, 'keyed', 'Bearer key-1'), 'millers');
  t.is(ask(configuration, 'keyed', 'bearer key-2'), 'millers');
  t.is(ask(configuration, 'keyed', 'Bearer key-3'), 'bakers');
});

test('a keyed route refuses requests without a key and with an unknown one', t => {
  const {ask} = setUp();
  const configuration = workspacesOf(millers);
  t.is(ask(configuration, 'keyed'), 'key-required');
  t.is(ask(configuration, 'keyed', 'Basic key-1'), 'key-required');
  t.is(
    ask(configuration, 'keyed', 'Bearer key-1', 'Bearer key-1'),
    'key-required',
  );
  t.is(ask(configuration, 'keyed', 'Bearer key-9'), 'key-unknown');
  t.is(ask(workspacesOf(), 'keyed', 'Bearer key-1'), 'key-unknown');
});

test('another spelling of a key is another key', t => {
  const {ask} = setUp();
  const configuration = workspacesOf(workspaceOf('a', ['Ab~1']));
  for (const spelling of ['ab~1', 'AB~1', 'Ab%7E1', '"Ab~1"', 'Ab~1=']) {
    t.is(ask(configuration, 'keyed', `Bearer ${spelling}`), 'key-unknown');
  }
});

test('a digest is no key', t => {
  const {ask} = setUp();
  const [digest] = millers.keys;
  t.is(ask(workspacesOf(millers), 'keyed', `Bearer ${digest}`), 'key-unknown');
});

test('an open route needs no key and ignores one that is unknown', t => {
  const {ask} = setUp();
  const configuration = workspacesOf(millers);
  t.is(ask(configuration, 'open'), 'anonymous');
  t.is(ask(configuration, 'open', 'Bearer key-9'), 'anonymous');
  t.is(ask(configuration, 'open', 'Basic key-1'), 'anonymous');
  t.is(ask(configuration, 'open', 'Bearer key-1', ''), 'anonymous');
  t.is(ask(configuration, 'open', 'Bearer key-1'), 'millers');
});

test('a key that is removed and added again is refused in between', t => {
  const {ask} = setUp();
  const removed = workspacesOf({...millers, keys: [millers.keys[1]!]});
  t.is(ask(workspacesOf(millers), 'keyed', 'Bearer key-1'), 'millers');
  t.is(ask(removed, 'keyed', 'Bearer key-1'), 'key-unknown');
  t.is(ask(removed, 'keyed', 'Bearer key-2'), 'millers');
  t.is(ask(workspacesOf(millers), 'keyed', 'Bearer key-1'), 'millers');
});

test('a workspace that has lost all its keys can’t be used', t => {
  const {ask} = setUp();
  t.is(ask(workspacesOf(millers), 'keyed', 'Bearer key-1'), 'millers');
  const without = workspacesOf({...millers, keys: []});
  t.is(ask(without, 'keyed', 'Bearer key-1'), 'key-unknown');
  t.is(ask(without, 'open', 'Bearer key-2'), 'anonymous');
});

test('with expired keys only open routes serve, without a workspace', t => {
  const {ask} = setUp('expired');
  const configuration = workspacesOf(millers);
  t.is(ask(configuration, 'keyed', 'Bearer key-1'), 'keys-unsure');
  t.is(ask(configuration, 'keyed', 'Bearer key-9'), 'keys-unsure');
  t.is(ask(configuration, 'keyed'), 'key-required');
  t.is(ask(configuration, 'open', 'Bearer key-1'), 'anonymous');
});

test('a node that is cut off does not call a key unknown', t => {
  // The key may have been added meanwhile; its caller would give up.
  const {ask} = setUp('unconfirmed');
  const configuration = workspacesOf(millers);
  t.is(ask(configuration, 'keyed', 'Bearer key-9'), 'keys-unsure');
  t.is(ask(configuration, 'keyed', 'Bearer key-1'), 'millers');
});

test('keys are in use with a workspace or a keyed route', t => {
  const {authenticator} = setUp();
  const routes = workspacesOf();
  const none = {...routes, routes: new Map([['open', openRoute]])};
  t.true(authenticator.isUsed(routes));
  t.true(authenticator.isUsed({...workspacesOf(millers), routes: new Map()}));
  t.false(authenticator.isUsed(none));
  t.false(authenticator.isUsed({...none, routes: new Map()}));
});
