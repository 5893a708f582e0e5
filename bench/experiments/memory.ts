import {spawn} from 'node:child_process';
import process from 'node:process';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {runLoad} from '../callers/load.js';
import {parseMix} from '../callers/mix.js';
import {setUp} from '../deployment/setup.js';
import {startSmallDeployment} from '../deployment/small-deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {readMemory} from '../memory.js';
import type {Memory} from '../memory.js';

/** Calls per second of a node at the size that the project is designed for. */
const nodeRate = 50;

async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Measures a Node.js process that loads no modules and does nothing. */
async function measureBare(): Promise<Memory> {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  await pause(1000);
  const memory = readMemory(child.pid!);
  child.kill();
  return memory;
}

interface Measured {
  readonly idle: Memory;
  readonly loaded: Memory;
  readonly control: Memory;
  readonly calls: number;
}

/** Measures the program; an empty `binary` stands for the compiled modules. */
async function measureProgram(
  binary: string,
  options: RunOptions,
): Promise<Measured> {
  process.env['FOXBARROW_BINARY'] = binary;
  const services = [{name: 'crewbook', instances: 3}];
  const deployment = await startSmallDeployment({controls: 3, services});
  try {
    await setUp(deployment, 'examples/agency/setup.fox');
    await pause(2000);
    const [instance] = deployment.instances;
    const idle = readMemory(instance!.node.id);
    const summary = await runLoad({
      targets: [instance!.settings.callerAddress],
      rate: nodeRate,
      count: nodeRate * options.seconds,
      duration: (options.seconds / 2) * 1000,
      mix: parseMix('record-lookup'),
      uploadBytes: 0,
      timeout: 5000,
      openLimit: 100,
      name: 'memory',
      random: createRandom(options.seed),
      timers: createTimers(),
    });
    return {
      idle,
      loaded: readMemory(instance!.node.id),
      control: readMemory(deployment.controls[0]!.id),
      calls: summary.endings.whole,
    };
  } finally {
    await deployment.stop();
  }
}

function describe(name: string, memory: Memory, bare: Memory): Row[] {
  const keys = ['resident', 'private', 'privateDirty'] as const;
  return keys.map(key =>
    compare(`${name}, ${key}`, 'MB', memory[key], bare[key]),
  );
}

async function run(options: RunOptions): Promise<Outcome> {
  const bare = await measureBare();
  const modules = await measureProgram('', options);
  const bundled = await measureProgram('dist/foxbarrow', options);
  return {
    rows: [
      ...describe('node as modules, idle', modules.idle, bare),
      ...describe('node as modules, loaded', modules.loaded, bare),
      ...describe('node as binary, idle', bundled.idle, bare),
      ...describe('node as binary, loaded', bundled.loaded, bare),
      ...describe('control as binary', bundled.control, bare),
    ],
    counts: {
      'whole answers, modules': modules.calls,
      'whole answers, binary': bundled.calls,
    },
    notes: ['loaded: 50 lookups a second through the measured entry'],
  };
}

export const experiment: Experiment = {
  name: 'memory',
  about: 'resident and private memory of a node, idle and at 50 calls a second',
  baseline: 'Node.js that has loaded nothing',
  seconds: 20,
  run,
};
