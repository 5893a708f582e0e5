import test from 'ava';
import {request} from 'undici';
import {createCallKinds} from './decisions/call-kinds.js';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {createMesh} from './fakes/mesh.js';

/** A configuration whose only route has a policy of the given name. */
function configurationWith(policy: string) {
  return configurationOf({
    services: [{name: 'stock-desk', slowStart: 0}],
    routes: [routeOf({policy})],
    policies: [policyOf({name: policy})],
  });
}

// While timeouts change one after the other, no wait would ever be estimated.
test('a gate knows how long calls take after their policy got another name', async t => {
  const kinds = createCallKinds();
  let configuration = configurationWith('safe-500');
  kinds.update(configuration);
  const mesh = await createMesh({
    configuration: () => configuration,
    gate: {kinds},
    entry: {kinds},
    upstreams: [
      (_req, res) => {
        mesh.timers.advance(40);
        res.end('ok');
      },
    ],
  });
  const answer = await request(`${mesh.url}/stock/7`);
  await answer.body.dump();
  const {gate} = mesh.members[0]!;
  t.is(gate.estimateFor('safe-500', 'normal')?.work, 40);
  configuration = configurationWith('safe-485');
  kinds.update(configuration);
  t.is(gate.estimateFor('safe-485', 'normal')?.work, 40);
  await mesh.close();
});
