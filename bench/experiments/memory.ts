import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {runLoad} from '../callers/load.js';
import {parseMix} from '../callers/mix.js';
import {
  compiledProgram,
  shippedProgram,
  startDeployment,
} from '../deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {readMemory} from '../memory.js';
import type {Memory} from '../memory.js';

/** Calls a second that a node of the designed size takes. */
const nodeRate = 50;

const setup = [
  'put service crewbook',
  'put policy lookups deadline 2s attempts 3 repeat idempotent objective 99.9% within 100ms',
  'put route records prefix /records to crewbook under lookups',
];

async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** A process of Node.js that has loaded nothing and does nothing. */
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

async function measureProgram(
  program: readonly string[],
  port: number,
  options: RunOptions,
): Promise<Measured> {
  const folder = mkdtempSync(join(tmpdir(), 'foxbarrow-memory-'));
  const deployment = await startDeployment({
    folder,
    port,
    program,
    services: [{name: 'crewbook', instances: 3}],
    setup,
  });
  try {
    const pid = (name: string) => deployment.processes.get(name)!.pid!;
    await pause(2000);
    const idle = readMemory(pid('crewbook-1'));
    const summary = await runLoad({
      targets: [deployment.entries[0]!],
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
      loaded: readMemory(pid('crewbook-1')),
      control: readMemory(pid('control-1')),
      calls: summary.endings.whole,
    };
  } finally {
    await deployment.stop();
    rmSync(folder, {recursive: true});
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
  const modules = await measureProgram(compiledProgram, 26000, options);
  const bundled = await measureProgram(shippedProgram, 26200, options);
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
