import {setTimeout as pause} from 'node:timers/promises';
import {runLoad} from '../callers/load.js';
import type {Summary} from '../callers/load.js';
import {call} from '../demo/calls.js';
import type {Deployment} from '../deployment/deployment.js';
import type {Program} from '../deployment/program.js';
import {setUp} from '../deployment/setup.js';
import {startSmallDeployment} from '../deployment/small-deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {requestCodes} from '../../src/request/messages/codes.js';
import {createTimers} from '../../src/time/timers.js';

const crash = 'crashing';

/** Milliseconds after which an instance that ended is started again. */
const downTime = 2_000;
/** Milliseconds between two of the crashing requests. */
const crashGap = 333;
/** Milliseconds from the third end until every node is to know. */
const knownWithin = 3_000;
/** Other lookups a second. */
const rate = 100;
/** Nodes that are killed and started again meanwhile. */
const killedNodes = 4;

/** What one run gave. */
interface Figures {
  readonly ends: number;
  /** Ends later than `knownWithin` after the third. */
  readonly lateEnds: number;
  readonly others: Summary;
}

/** Starts instances of crewbook again; gives the times of their ends. */
function keepUp(deployment: Deployment, isOver: () => boolean): number[] {
  const ends: number[] = [];
  const follow = async (upstream: Program): Promise<void> => {
    const code = await upstream.ended();
    if (code === 0 || upstream.wasKilled()) return;
    ends.push(Date.now());
    await pause(downTime);
    if (!isOver()) void follow(deployment.restart(upstream.name));
  };
  for (const {upstream} of deployment.instances) void follow(upstream);
  return ends;
}

async function killNodes(deployment: Deployment, gap: number): Promise<void> {
  for (const {node, settings} of deployment.instances.slice(0, killedNodes)) {
    await pause(gap);
    node.signal('SIGKILL');
    await node.ended();
    deployment.restart(settings.name);
  }
}

/** Sends the crashing request at any node; `path` names it each time. */
async function sendCrashes(
  targets: readonly string[],
  duration: number,
  random: Random,
  path: (turn: number) => string,
): Promise<void> {
  const until = Date.now() + duration;
  for (let turn = 0; Date.now() < until; turn++) {
    // A node that was killed takes no connection; the next one is asked.
    void call(random.pick(targets), path(turn)).catch(() => undefined);
    await pause(crashGap);
  }
}

async function measure(
  {seed, seconds}: RunOptions,
  path: (turn: number) => string,
): Promise<Figures> {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: 9},
      {name: 'drillvault', instances: 3},
    ],
    work: 60,
    crash,
  });
  let isOver = false;
  try {
    await setUp(deployment, 'examples/agency/setup.fox');
    const ends = keepUp(deployment, () => isOver);
    const duration = (seconds * 1000) / 2;
    const targets = deployment.instances.map(
      ({settings}) => settings.callerAddress,
    );
    const load = runLoad({
      targets,
      rate,
      count: rate * seconds,
      duration,
      mix: [{kind: 'record-lookup', weight: 1}],
      uploadBytes: 0,
      timeout: 2_500,
      openLimit: 500,
      name: 'lookup',
      random: createRandom(seed),
      timers: createTimers(),
    });
    const [others] = await Promise.all([
      load,
      sendCrashes(targets, duration, createRandom(seed + 1), path),
      killNodes(deployment, duration / (killedNodes + 1)),
    ]);
    const known = (ends[2] ?? Infinity) + knownWithin;
    const lateEnds = ends.filter(at => at > known).length;
    return {ends: ends.length, lateEnds, others};
  } finally {
    isOver = true;
    await deployment.killAll();
  }
}

function servedShare({sent, endings}: Summary): number {
  return endings.whole / sent;
}

/** Refusals of requests that never ended an instance by themselves. */
function wronglyHeld({refusals}: Summary): number {
  return Object.entries(refusals)
    .filter(([name]) => name.includes(` ${requestCodes.quarantined.number} `))
    .reduce((sum, [, count]) => sum + count, 0);
}

async function run(options: RunOptions): Promise<Outcome> {
  const same = await measure(options, () => `/records/${crash}`);
  const other = await measure(options, turn => `/records/${crash}-${turn}`);
  return {
    rows: [
      compare('instances ended', '', same.ends, other.ends),
      compare(
        'instances ended later than 3 s after the third',
        '',
        same.lateEnds,
        other.lateEnds,
      ),
      compare(
        'other lookups served',
        '',
        servedShare(same.others),
        servedShare(other.others),
      ),
      compare(
        'other lookups held wrongly',
        '',
        wronglyHeld(same.others),
        wronglyHeld(other.others),
      ),
    ],
    counts: {'other lookups sent': same.others.sent},
  };
}

export const experiment: Experiment = {
  name: 'crashing-request',
  about:
    'A lookup that ends each instance that runs it, three times a second at any of twelve nodes, four of which are killed; beside other lookups',
  baseline: 'the same with another path each time, so that nothing is known',
  seconds: 50,
  run,
};
