import assert from 'node:assert/strict';
import {createFakeMesh, upstream} from '../../src/endpoints/fakes/mesh.js';
import type {FakeMesh, FakeNode} from '../../src/endpoints/fakes/mesh.js';
import {createSteps} from '../step.js';

/** Homes, instances and callers of a scenario about announcements. */
export interface EndpointCluster {
  mesh: FakeMesh;
  readonly nodes: Map<string, FakeNode>;
}

/** Creates an empty stage for announcements. */
export function createEndpointCluster(): EndpointCluster {
  return {mesh: createFakeMesh(), nodes: new Map()};
}

/** Steps of announcements between homes. */
export const endpointSteps = createSteps<EndpointCluster>();
const {action, check} = endpointSteps;

action('announcements have no order', stage => {
  assert.equal(stage.nodes.size, 0, 'switch safeguards off first');
  const safeguards = {order: false, comparison: false};
  stage.mesh = createFakeMesh(0, {safeguards});
});

action('homes {word} and {word}', async (stage, one, other) => {
  await stage.mesh.home(one);
  await stage.mesh.home(other);
  await stage.mesh.advance(2000);
});

action('caller {word} at {word}', async (stage, name, home) => {
  stage.nodes.set(name, await stage.mesh.join(home, name));
});

action('messages from {word} to {word} are held', (stage, from, to) => {
  stage.mesh.network.decide((source, target, message) => {
    if (source !== from || target !== to) return 'deliver';
    const isRecords = JSON.stringify(message).includes('"kind":"records"');
    return isRecords ? 'hold' : 'deliver';
  });
});

action(
  'instance {word} announces itself at {word}',
  async (stage, name, home) => {
    stage.nodes.set(name, await stage.mesh.join(home, name, upstream()));
  },
);

action('instance {word} drains and leaves', async (stage, name) => {
  const {announcer} = stage.nodes.get(name)!;
  announcer.announce(upstream({state: 'draining'}));
  announcer.withdraw();
  await stage.mesh.advance(100);
});

action('what was held arrives crossed and doubled', async stage => {
  stage.mesh.network.decide(() => 'double');
  stage.mesh.network.release(true);
  await stage.mesh.advance(100);
});

check('{word} sees no instance', (stage, caller) => {
  assert.deepEqual(stage.nodes.get(caller)!.view(), []);
});

check('{word} sees {word} as {word}', (stage, caller, instance, state) => {
  assert.deepEqual(stage.nodes.get(caller)!.view(), [`${instance}:${state}`]);
});
