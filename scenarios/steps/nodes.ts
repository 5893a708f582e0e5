import assert from 'node:assert/strict';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of nodes: restarts, and the version that is in force at each. */
export const nodeSteps = createSteps<Cluster>();
const {action, check} = nodeSteps;

const currentOf = (cluster: Cluster, name: string) =>
  cluster.node(name).subscriber.current();

/** The newest version in an answer to an operator. */
function acceptedVersion(cluster: Cluster): number {
  const versions = cluster.answers.map(answer => answer?.version ?? 0);
  return Math.max(0, ...versions);
}

/** Waits until the accepted version is in force at every node. */
async function awaitAcceptedVersion(cluster: Cluster): Promise<void> {
  const version = acceptedVersion(cluster);
  await cluster.until(`version ${version} at every node`, () =>
    [...cluster.nodes.keys()].every(
      name => currentOf(cluster, name)?.version === version,
    ),
  );
}

action('node {word} starts with every control VM as a home', (cluster, name) =>
  cluster.startNode(name, [...cluster.controls.keys()]),
);

action(
  'node {word} starts with only {word} as a home',
  (cluster, name, control) => cluster.startNode(name, [control]),
);

action('node {word} has the accepted version', (cluster, name) =>
  cluster.until(
    `version ${acceptedVersion(cluster)} at ${name}`,
    () => currentOf(cluster, name)?.version === acceptedVersion(cluster),
  ),
);

action(
  '{number} nodes start with every control VM as a home',
  (cluster, count) => {
    for (let number = 1; number <= count; number++) {
      cluster.startNode(`node-${number}`, [...cluster.controls.keys()]);
    }
  },
);

action('every node stops', cluster => {
  for (const name of cluster.nodes.keys()) cluster.stopNode(name);
});

action('every node starts again', cluster => {
  for (const name of cluster.nodes.keys()) {
    cluster.startNode(name, [...cluster.controls.keys()]);
  }
});

action('every node has the accepted version', cluster =>
  awaitAcceptedVersion(cluster),
);

action('node {word} stops', (cluster, name) => cluster.stopNode(name));

check('node {word} serves the accepted version', (cluster, name) =>
  cluster.until(
    `version ${acceptedVersion(cluster)} at ${name}`,
    () => currentOf(cluster, name)?.version === acceptedVersion(cluster),
  ),
);

check('every node serves the accepted version', cluster =>
  awaitAcceptedVersion(cluster),
);

check('every node serves nothing', cluster => {
  for (const name of cluster.nodes.keys()) {
    assert.equal(currentOf(cluster, name), undefined, name);
  }
});

check('node {word} serves nothing', (cluster, name) => {
  assert.equal(currentOf(cluster, name), undefined);
});

check('node {word} serves an older version', (cluster, name) => {
  const version = currentOf(cluster, name)?.version;
  assert.ok(version !== undefined && version < acceptedVersion(cluster));
});

check('every node has the drain of {word}', async (cluster, instance) => {
  for (const name of cluster.nodes.keys()) {
    await cluster.until(`the drain at ${name}`, () =>
      currentOf(cluster, name)!.drains.has(instance),
    );
  }
});

check('no node went back to an older version', cluster => {
  for (const {name, versions} of cluster.nodes.values()) {
    const sorted = [...versions].sort((left, right) => left - right);
    assert.deepEqual(versions, sorted, `${name} went back`);
  }
});

check('node {word} went back to an older version', (cluster, name) => {
  const {versions} = cluster.node(name);
  const wentBack = versions.some((version, at) => version < versions[at - 1]!);
  assert.ok(wentBack, `versions ${versions.join(', ')}`);
});
