import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  createSampleMachine,
  putPolicy,
  putRoute,
  putService,
} from '../../src/configuration/fakes/sample.js';
import type {ConfigurationMachine} from '../../src/configuration/create-configuration-machine.js';
import type {Edit} from '../../src/configuration/messages.js';
import {createRandom} from '../../src/random/random.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Number of services that the project is designed for. */
const designServices = 710;

const routesPerService = 3;

const policies = 20;

/**
 * Operators that send changes in turn; the machine stores an answer for each.
 */
const operators = 20;

/** Number of changes between two readings of the clock. */
const batch = 200;

/** Cost of applying changes. */
interface Cost {
  /** Microseconds of processor time per change. */
  readonly apply: number;
  readonly changes: number;
}

/**
 * Cost of operations on the complete state: size in bytes, times in
 * milliseconds.
 */
interface WholeCost {
  readonly bytes: number;
  readonly snapshot: number;
  readonly digest: number;
  readonly restore: number;
  readonly current: number;
}

interface Load {
  readonly machine: ConfigurationMachine;
  /** Applies one change that replaces a service or route. */
  step(): void;
}

function createLoad(services: number, seed: number, validation = true): Load {
  const limits = {services: 20_000, routes: 60_000};
  const machine = createSampleMachine(limits, {validation});
  const random = createRandom(seed);
  let index = 0;

  function send(edits: readonly Edit[]): void {
    index++;
    const operator = `operator-${index % operators}`;
    const entry = machine.prepare({operator, sequence: index, edits}, index);
    machine.apply(index, entry);
  }

  function routeOf(service: number, route: number, version: number): Edit {
    const name = `route-${service}-${route}`;
    const policy = `policy-${(service + version) % policies}`;
    return putRoute(name, `service-${service}`, policy);
  }

  for (let policy = 0; policy < policies; policy++) {
    send([putPolicy(`policy-${policy}`)]);
  }
  for (let service = 0; service < services; service++) {
    const edits = [putService(`service-${service}`)];
    for (let route = 0; route < routesPerService; route++) {
      edits.push(routeOf(service, route, 0));
    }
    send(edits);
  }
  return {
    machine,
    step() {
      const service = random.integer(services);
      if (index % 2 === 0) send([putService(`service-${service}`, index)]);
      else send([routeOf(service, random.integer(routesPerService), index)]);
    },
  };
}

function measureApply(load: Load, milliseconds: number, each = () => {}): Cost {
  const end = performance.now() + milliseconds;
  const before = process.cpuUsage();
  let changes = 0;
  while (performance.now() < end) {
    for (let turn = 0; turn < batch; turn++) {
      load.step();
      each();
    }
    changes += batch;
  }
  const {user, system} = process.cpuUsage(before);
  return {apply: (user + system) / changes, changes};
}

/** Median of nine runs in milliseconds. */
function time(run: () => void): number {
  const times = Array.from({length: 9}, () => {
    const start = performance.now();
    run();
    return performance.now() - start;
  });
  return times.sort((left, right) => left - right)[4]!;
}

function measureWhole(load: Load): WholeCost {
  const {machine} = load;
  const snapshot = machine.snapshot();
  const other = createSampleMachine();
  return {
    bytes: snapshot.length,
    snapshot: time(() => machine.snapshot()),
    digest: time(() => {
      load.step();
      machine.digest();
    }),
    restore: time(() => other.restore(1, snapshot)),
    current: time(() => {
      load.step();
      machine.current();
    }),
  };
}

/**
 * Heap bytes of a machine with its stored answers, its history and one copy.
 */
function measureHeap(services: number, seed: number): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const load = createLoad(services, seed);
  for (let turn = 0; turn < 2000; turn++) load.step();
  load.machine.current();
  collect();
  const heldBytes = process.memoryUsage().heapUsed - before;
  load.step();
  return heldBytes;
}

async function run(options: RunOptions): Promise<Outcome> {
  const heapSmall = measureHeap(designServices / 10, options.seed);
  const heap = measureHeap(designServices, options.seed);
  const slice = (options.seconds * 1000) / 6;
  const small = createLoad(designServices / 10, options.seed);
  const design = createLoad(designServices, options.seed);
  const large = createLoad(designServices * 10, options.seed);
  const plain = createLoad(designServices, options.seed, false);
  measureApply(small, slice / 2);
  const atSmall = measureApply(small, slice);
  const atDesign = measureApply(design, slice);
  const atLarge = measureApply(large, slice);
  const unchecked = measureApply(plain, slice);
  const copied = measureApply(design, slice, () => {
    design.machine.current();
  });
  const wholeSmall = measureWhole(small);
  const whole = measureWhole(design);
  const rows: Row[] = [
    {figure: 'apply at 71 services', unit: 'us CPU', value: atSmall.apply},
    compare('apply at 710', 'us CPU', atDesign.apply, atSmall.apply),
    compare('apply at 7,100', 'us CPU', atLarge.apply, atSmall.apply),
    compare(
      'apply at 710 without validation',
      'us CPU',
      unchecked.apply,
      atDesign.apply,
    ),
    compare(
      'apply at 710 with a frozen copy each',
      'us CPU',
      copied.apply,
      atDesign.apply,
    ),
    compare('snapshot at 710', 'B', whole.bytes, wholeSmall.bytes),
    compare('snapshot at 710', 'ms', whole.snapshot, wholeSmall.snapshot),
    compare('digest at 710', 'ms', whole.digest, wholeSmall.digest),
    compare('restore at 710', 'ms', whole.restore, wholeSmall.restore),
    compare('heap at 710', 'B', heap, heapSmall),
    compare('frozen copy at 710', 'ms', whole.current, wholeSmall.current),
  ];
  const costs = [atSmall, atDesign, atLarge, unchecked, copied];
  const changes = costs.reduce((sum, cost) => sum + cost.changes, 0);
  return {rows, counts: {changes}};
}

export const experiment: Experiment = {
  name: 'configuration-apply',
  about: `processor time, snapshot and digest of the configuration at ${designServices} services with ${routesPerService} routes each`,
  baseline: 'the same at 71 services',
  seconds: 12,
  run,
};
