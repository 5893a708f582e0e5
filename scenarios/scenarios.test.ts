import {fileURLToPath} from 'node:url';
import test from 'ava';
import {readScenarios} from './run.js';
import {createCluster} from './cluster.js';
import type {Cluster} from './cluster.js';
import type {Step} from './step.js';
import {controlSteps} from './steps/control.js';
import {createEndpointCluster, endpointSteps} from './steps/endpoints.js';
import {nodeSteps} from './steps/nodes.js';
import {operatorSteps} from './steps/operators.js';

const steps: ReadonlyArray<Step<Cluster>> = [
  ...controlSteps.all,
  ...nodeSteps.all,
  ...operatorSteps.all,
];

const folderOf = (name: string) =>
  fileURLToPath(new URL(`../../scenarios/${name}`, import.meta.url));

for (const scenario of readScenarios(folderOf('configuration'), steps)) {
  test(scenario.name, async t => {
    await scenario.run(createCluster());
    t.pass();
  });
}

for (const scenario of readScenarios(
  folderOf('endpoints'),
  endpointSteps.all,
)) {
  test(scenario.name, async t => {
    await scenario.run(createEndpointCluster());
    t.pass();
  });
}
