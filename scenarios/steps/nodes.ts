import assert from 'node:assert/strict';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of nodes: what is in force where, through restarts and cuts. */
export const nodeSteps = createSteps<Cluster>();
const {action, check} = nodeSteps;

const currentOf = (stage: Cluster, name: string) =>
  stage.node(name).subscriber.current();

/** The newest version that operators were told is accepted. */
function acceptedVersion(stage: Cluster): number {
  const versions = stage.answers.map(answer => answer?.version ?? 0);
  return Math.max(0, ...versions);
}

/** Waits until the accepted version is in force at every node. */
async function reachAll(stage: Cluster): Promise<void> {
  const version = acceptedVersion(stage);
  await stage.until(`version ${version} everywhere`, () =>
    [...stage.nodes.keys()].every(
      name => currentOf(stage, name)?.version === version,
    ),
  );
}

action('node {word} knows every control VM', (stage, name) =>
  stage.startNode(name, [...stage.controls.keys()]),
);

action('node {word} knows only {word}', (stage, name, control) =>
  stage.startNode(name, [control]),
);

action('node {word} has the accepted version', (stage, name) =>
  stage.until(
    `version ${acceptedVersion(stage)} at ${name}`,
    () => currentOf(stage, name)?.version === acceptedVersion(stage),
  ),
);

action('{number} nodes know every control VM', (stage, count) => {
  for (let number = 1; number <= count; number++) {
    stage.startNode(`node-${number}`, [...stage.controls.keys()]);
  }
});

action('every node stops', stage => {
  for (const name of stage.nodes.keys()) stage.stopNode(name);
});

action('every node starts again', stage => {
  for (const name of stage.nodes.keys()) {
    stage.startNode(name, [...stage.controls.keys()]);
  }
});

action('every node has the accepted version', stage => reachAll(stage));

action('node {word} stops', (stage, name) => stage.stopNode(name));

check('node {word} serves the accepted version', (stage, name) =>
  stage.until(
    `version ${acceptedVersion(stage)} at ${name}`,
    () => currentOf(stage, name)?.version === acceptedVersion(stage),
  ),
);

check('every node serves the accepted version', stage => reachAll(stage));

check('every node serves nothing', stage => {
  for (const name of stage.nodes.keys()) {
    assert.equal(currentOf(stage, name), undefined, name);
  }
});

check('node {word} serves nothing', (stage, name) => {
  assert.equal(currentOf(stage, name), undefined);
});

check('node {word} serves an older version', (stage, name) => {
  const version = currentOf(stage, name)?.version;
  assert.ok(version !== undefined && version < acceptedVersion(stage));
});

check('every node has the drain of {word}', async (stage, instance) => {
  for (const name of stage.nodes.keys()) {
    await stage.until(`the drain at ${name}`, () =>
      currentOf(stage, name)!.drains.has(instance),
    );
  }
});

check('no node ever went back', stage => {
  for (const {name, versions} of stage.nodes.values()) {
    const sorted = [...versions].sort((left, right) => left - right);
    assert.deepEqual(versions, sorted, `${name} went back`);
  }
});

check('node {word} went back', (stage, name) => {
  const {versions} = stage.node(name);
  const wentBack = versions.some((version, at) => version < versions[at - 1]!);
  assert.ok(wentBack, `versions ${versions.join(', ')}`);
});
