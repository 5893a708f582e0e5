import test from 'ava';
import {configurationOf, policyOf, routeOf} from '../fakes/configurations.js';
import {createCallKinds} from './call-kinds.js';

/** A configuration in which each route has the policy of its name. */
function configurationWith(policies: Readonly<Record<string, string>>) {
  return configurationOf({
    routes: Object.entries(policies).map(([name, policy]) =>
      routeOf({name, policy}),
    ),
    policies: [...new Set(Object.values(policies))].map(name =>
      policyOf({name}),
    ),
  });
}

// With each new timeout all durations of a route would have to be learned anew.
test('a route whose policy gets another name keeps its kind', t => {
  const kinds = createCallKinds();
  kinds.update(configurationWith({stock: 'safe-500'}));
  kinds.update(configurationWith({stock: 'safe-485'}));
  kinds.update(configurationWith({stock: 'safe-470'}));
  t.is(kinds.of('safe-470'), 'safe-500');
  t.is(kinds.of('safe-485'), 'safe-500');
  kinds.update(configurationWith({stock: 'safe-470'}));
  t.is(kinds.of('safe-485'), 'safe-485');
});

test('a route that moves to a known policy takes its kind', t => {
  const kinds = createCallKinds();
  kinds.update(configurationWith({stock: 'short', film: 'long'}));
  kinds.update(configurationWith({stock: 'long', film: 'long'}));
  t.is(kinds.of('long'), 'long');
});

test('a policy that only new routes have is a kind of its own', t => {
  const kinds = createCallKinds();
  kinds.update(configurationWith({stock: 'short'}));
  kinds.update(configurationWith({stock: 'short', film: 'long'}));
  t.is(kinds.of('long'), 'long');
});
