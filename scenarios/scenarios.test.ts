import {fileURLToPath} from 'node:url';
import test from 'ava';
import {readScenarios} from './run.js';
import {createStage} from './stage.js';
import type {Stage} from './stage.js';
import type {Step} from './step.js';
import {controlSteps} from './steps/control.js';
import {createEndpointStage, endpointSteps} from './steps/endpoints.js';
import {nodeSteps} from './steps/nodes.js';
import {operatorSteps} from './steps/operators.js';

const steps: ReadonlyArray<Step<Stage>> = [
  ...controlSteps.all,
  ...nodeSteps.all,
  ...operatorSteps.all,
];

const folderOf = (name: string) =>
  fileURLToPath(new URL(`../../scenarios/${name}`, import.meta.url));

for (const scenario of readScenarios(folderOf('configuration'), steps)) {
  test(scenario.name, async t => {
    await scenario.run(createStage());
    t.pass();
  });
}

for (const scenario of readScenarios(
  folderOf('endpoints'),
  endpointSteps.all,
)) {
  test(scenario.name, async t => {
    await scenario.run(createEndpointStage());
    t.pass();
  });
}
