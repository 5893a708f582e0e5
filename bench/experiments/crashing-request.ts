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

/** A request whose path contains this word crashes its upstream. */
const crashWord = 'crashing';

/** Milliseconds after which a crashed instance is started again. */
const downTime = 2_000;
/** Milliseconds between two crashing requests. */
const crashGap = 333;
/** Milliseconds within which every node must know of the third crash. */
const detectionLimit = 3_000;
/** Number of other lookups per second. */
const rate = 100;
/** Number of nodes that are killed and restarted during the run. */
const killedNodes = 4;

/** Results of one run. */
interface Figures {
  /** Number of crashes. */
  readonly crashes: number;
  /** Crashes later than `detectionLimit` after the third one. */
  readonly lateCrashes: number;
  readonly others: Summary;
}

/** Restarts crashed upstreams; returns the times of the crashes. */
function restartCrashed(
  deployment: Deployment,
  isOver: () => boolean,
): number[] {
  const crashTimes: number[] = [];
  const watch = async (upstream: Program): Promise<void> => {
    const code = await upstream.ended();
    if (code === 0 || upstream.wasKilled()) return;
    crashTimes.push(Date.now());
    await pause(downTime);
    if (!isOver()) void watch(deployment.restart(upstream.name));
  };
  for (const {upstream} of deployment.instances) void watch(upstream);
  return crashTimes;
}

async function killNodes(deployment: Deployment, gap: number): Promise<void> {
  for (const {node, settings} of deployment.instances.slice(0, killedNodes)) {
    await pause(gap);
    node.signal('SIGKILL');
    await node.ended();
    deployment.restart(settings.name);
  }
}

/** Sends crashing requests to random nodes; `path` returns the path of each. */
async function sendCrashes(
  targets: readonly string[],
  duration: number,
  random: Random,
  path: (turn: number) => string,
): Promise<void> {
  const until = Date.now() + duration;
  for (let turn = 0; Date.now() < until; turn++) {
    // A killed node refuses connections; the next request picks a node again.
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
    crash: crashWord,
  });
  let isOver = false;
  try {
    await setUp(deployment, 'examples/agency/setup.fox');
    const crashTimes = restartCrashed(deployment, () => isOver);
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
    const detectedBy = (crashTimes[2] ?? Infinity) + detectionLimit;
    const lateCrashes = crashTimes.filter(at => at > detectedBy).length;
    return {crashes: crashTimes.length, lateCrashes, others};
  } finally {
    isOver = true;
    await deployment.killAll();
  }
}

function servedShare({sent, endings}: Summary): number {
  return endings.whole / sent;
}

/** Quarantine refusals of requests that never crash an upstream. */
function wronglyQuarantined({refusals}: Summary): number {
  return Object.entries(refusals)
    .filter(([name]) => name.includes(` ${requestCodes.quarantined.number} `))
    .reduce((sum, [, count]) => sum + count, 0);
}

async function run(options: RunOptions): Promise<Outcome> {
  const same = await measure(options, () => `/records/${crashWord}`);
  const other = await measure(options, turn => `/records/${crashWord}-${turn}`);
  return {
    rows: [
      compare('instances ended', '', same.crashes, other.crashes),
      compare(
        'instances ended later than 3 s after the third',
        '',
        same.lateCrashes,
        other.lateCrashes,
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
        wronglyQuarantined(same.others),
        wronglyQuarantined(other.others),
      ),
    ],
    counts: {'other lookups sent': same.others.sent},
  };
}

export const experiment: Experiment = {
  name: 'crashing-request',
  about:
    'a lookup that crashes each instance that runs it, sent three times a second to random nodes, four of which are killed meanwhile, in addition to other lookups',
  baseline: 'the same with another path each time, so that nothing is known',
  seconds: 50,
  run,
};
