/** Processor time of a start, of an idle second and of a request. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../../src/random/random.js';
import type {Deployment} from '../deployment/deployment.js';
import type {Program} from '../deployment/program.js';
import {setUp} from '../deployment/setup.js';
import {startSmallDeployment} from '../deployment/small-deployment.js';
import {until} from '../deployment/until.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {readProcessorUsage} from '../processor-usage.js';
import type {ProcessorUsage} from '../processor-usage.js';
import {timeArrivals} from '../requests/arrivals.js';

/** Starts of each role whose mean is reported. */
const starts = 8;

const startTimeout = 20_000;

/** Milliseconds after the set-up until the idle processes are measured. */
const settling = 3000;

/** Seconds of calls before those that are measured. */
const warmSeconds = 4;

/** Calls per second. */
const rates = [50, 800];

/** Log line after which a process of a role is ready. */
const readyLines = {
  node: 'configuration in force',
  control: '"message":"role"',
} as const;

type Role = keyof typeof readyLines;

/** The deployment and the last output of its processes. */
interface Bench {
  readonly deployment: Deployment;
  readonly output: Map<string, string>;
}

async function startBench(): Promise<Bench> {
  process.env['FOXBARROW_BINARY'] ??= 'dist/foxbarrow';
  // Node.js reads the certificates of this variable at each start, which takes
  // tens of milliseconds of processor time.
  delete process.env['NODE_EXTRA_CA_CERTS'];
  const output = new Map<string, string>();
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: 1},
      {name: 'drillvault', instances: 1},
    ],
    onOutput: (name, text) => output.set(name, (output.get(name) ?? '') + text),
    work: 1,
  });
  await setUp(deployment, 'examples/agency/setup.fox');
  return {deployment, output};
}

/** Milliseconds of processor time from the start of a process until it is ready. */
async function measureStart(
  {deployment, output}: Bench,
  previous: Program,
  role: Role,
): Promise<{program: Program; processor: number}> {
  await previous.stop();
  output.delete(previous.name);
  const program = deployment.restart(previous.name);
  await until(`${program.name} is ready`, startTimeout, () =>
    Promise.resolve(
      (output.get(program.name) ?? '').includes(readyLines[role]),
    ),
  );
  const {processor} = readProcessorUsage(program.id);
  return {program, processor};
}

/** The mean over several starts, and the program of the last one. */
async function measureStarts(bench: Bench, first: Program, role: Role) {
  let program = first;
  const samples: number[] = [];
  for (let count = 0; count < starts; count++) {
    const started = await measureStart(bench, program, role);
    samples.push(started.processor);
    ({program} = started);
    await delay(1000);
  }
  const mean = samples.reduce((sum, one) => sum + one, 0) / samples.length;
  return {program, mean, spread: Math.max(...samples) - Math.min(...samples)};
}

/** Usage per second of each program while nothing happens. */
async function measureIdle(
  programs: readonly Program[],
  duration: number,
): Promise<ProcessorUsage[]> {
  const read = () => programs.map(({id}) => readProcessorUsage(id));
  const before = read();
  const startedAt = performance.now();
  await delay(duration * 1000);
  const seconds = (performance.now() - startedAt) / 1000;
  return read().map((after, index) => ({
    processor: (after.processor - before[index]!.processor) / seconds,
    system: (after.system - before[index]!.system) / seconds,
    wakeUps: (after.wakeUps - before[index]!.wakeUps) / seconds,
  }));
}

/** Usage of entry and gate per call, idle usage included. */
async function measureCalls(
  entry: {address: string; id: number},
  gate: number,
  rate: number,
  {seed, seconds}: RunOptions,
): Promise<{processor: number; system: number; failed: number}> {
  const targets = [
    {name: 'path', address: entry.address, path: '/records/amina'},
  ];
  const random = createRandom(seed);
  await timeArrivals({targets, rate, seconds: warmSeconds, random});
  const read = () => [entry.id, gate].map(readProcessorUsage);
  const before = read();
  const timed = await timeArrivals({targets, rate, seconds, random});
  const after = read();
  const {latency, failed} = timed.get('path')!;
  const perCall = (key: keyof ProcessorUsage) =>
    after.reduce(
      (sum, usage, index) => sum + usage[key] - before[index]![key],
      0,
    ) / latency.totalCount;
  return {processor: perCall('processor'), system: perCall('system'), failed};
}

function idleRows(name: string, usage: ProcessorUsage): Row[] {
  return [
    {figure: `idle ${name}: processor`, unit: 'ms/s', value: usage.processor},
    {figure: `idle ${name}: wake-ups`, unit: '1/s', value: usage.wakeUps},
  ];
}

async function measure(bench: Bench, options: RunOptions): Promise<Outcome> {
  const {deployment} = bench;
  const [gate, entry] = deployment.instances;
  const duration = options.seconds / (1 + rates.length);
  await delay(settling);
  const [control, ...nodes] = await measureIdle(
    [deployment.controls[0]!, entry!.node, gate!.node],
    duration,
  );
  const rows: Row[] = [
    ...idleRows('control', control!),
    ...nodes.flatMap((node, index) => idleRows(`node ${index + 1}`, node)),
  ];
  const counts: Record<string, number> = {};
  for (const rate of rates) {
    const address = entry!.settings.callerAddress;
    const call = await measureCalls(
      {address, id: entry!.node.id},
      gate!.node.id,
      rate,
      {...options, seconds: duration},
    );
    rows.push(
      {
        figure: `call at ${rate}/s, entry and gate`,
        unit: 'us',
        value: call.processor * 1000,
      },
      {
        figure: `call at ${rate}/s, in the kernel`,
        unit: 'us',
        value: call.system * 1000,
      },
    );
    counts[`failed calls at ${rate}/s`] = call.failed;
  }
  const node = await measureStarts(bench, entry!.node, 'node');
  const member = await measureStarts(bench, deployment.controls[1]!, 'control');
  rows.push(
    {figure: 'start of a node', unit: 'ms', value: node.mean},
    {figure: 'start of a node, spread', unit: 'ms', value: node.spread},
    {figure: 'start of a control process', unit: 'ms', value: member.mean},
    {figure: 'start of control, spread', unit: 'ms', value: member.spread},
  );
  return {rows, counts};
}

async function run(options: RunOptions): Promise<Outcome> {
  const bench = await startBench();
  try {
    return await measure(bench, options);
  } finally {
    await bench.deployment.killAll();
  }
}

export const experiment: Experiment = {
  name: 'processor-time',
  about: 'processor time of a start, an idle second and a call, real processes',
  baseline: 'none; compare runs of two versions (FOXBARROW_BINARY names one)',
  seconds: 30,
  run,
};
