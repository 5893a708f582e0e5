import assert from 'node:assert/strict';
import {createFakeMesh, upstream} from '../../src/endpoints/fakes/mesh.js';
import type {FakeMesh, FakeNode} from '../../src/endpoints/fakes/mesh.js';
import {createSteps} from '../step.js';

/** Homes, instances and callers of a scenario about announcements. */
export interface EndpointCluster {
  mesh: FakeMesh;
  readonly nodes: Map<string, FakeNode>;
}

/** Creates a cluster without homes and nodes. */
export function createEndpointCluster(): EndpointCluster {
  return {mesh: createFakeMesh(), nodes: new Map()};
}

/** Steps that concern announcements between homes. */
export const endpointSteps = createSteps<EndpointCluster>();
const {action, check} = endpointSteps;

action('the order of announcements is not checked', cluster => {
  assert.equal(
    cluster.nodes.size,
    0,
    'safeguards must be switched off before nodes start',
  );
  const safeguards = {order: false, comparison: false};
  cluster.mesh = createFakeMesh(0, {safeguards});
});

action('homes {word} and {word}', async (cluster, one, other) => {
  await cluster.mesh.home(one);
  await cluster.mesh.home(other);
  await cluster.mesh.advance(2000);
});

action('caller {word} at {word}', async (cluster, name, home) => {
  cluster.nodes.set(name, await cluster.mesh.join(home, name));
});

action('messages from {word} to {word} are held', (cluster, from, to) => {
  cluster.mesh.network.decide((source, target, message) => {
    if (source !== from || target !== to) return 'deliver';
    const isRecords = JSON.stringify(message).includes('"kind":"records"');
    return isRecords ? 'hold' : 'deliver';
  });
});

action(
  'instance {word} announces itself at {word}',
  async (cluster, name, home) => {
    cluster.nodes.set(name, await cluster.mesh.join(home, name, upstream()));
  },
);

action('instance {word} drains and leaves', async (cluster, name) => {
  const {announcer} = cluster.nodes.get(name)!;
  announcer.announce(upstream({state: 'draining'}));
  announcer.withdraw();
  await cluster.mesh.advance(100);
});

action('the held messages arrive twice and in reverse order', async cluster => {
  cluster.mesh.network.decide(() => 'double');
  cluster.mesh.network.release(true);
  await cluster.mesh.advance(100);
});

check('{word} sees no instance', (cluster, caller) => {
  assert.deepEqual(cluster.nodes.get(caller)!.view(), []);
});

check('{word} sees {word} as {word}', (cluster, caller, instance, state) => {
  assert.deepEqual(cluster.nodes.get(caller)!.view(), [`${instance}:${state}`]);
});
