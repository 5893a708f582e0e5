import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {
  Deployment,
  DeployedInstance,
} from '../../bench/deployment/deployment.js';
import type {Program} from '../../bench/deployment/program.js';
import {setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {CallOptions, Reply} from '../../bench/demo/calls.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const crash = 'crashing';

/**
 * Milliseconds until all nodes have the quarantine, from the third crash on.
 */
const quarantineDelay = 3_000;
/** Crashes that the request may cause after that. */
const maxFurtherCrashes = 3;
const repeats = 12;

/** The upstreams of crewbook; each is restarted when it exits. */
interface Upstreams {
  /** Number of exits so far. */
  exits(): number;
  running(): readonly Program[];
}

function crewbooks(deployment: Deployment): DeployedInstance[] {
  return deployment.instances.filter(({service}) => service === 'crewbook');
}

/** Restarts each upstream of crewbook when it exits, as its VM would. */
function superviseUpstreams(deployment: Deployment): Upstreams {
  const running = new Map<string, Program>();
  let exits = 0;
  let isStopped = false;

  async function supervise(name: string, upstream: Program): Promise<void> {
    running.set(name, upstream);
    await upstream.ended();
    if (isStopped) return;
    exits++;
    void supervise(name, deployment.restart(`upstream of ${name}`));
  }

  for (const {upstream, settings} of crewbooks(deployment)) {
    void supervise(settings.name, upstream);
  }
  const {killAll} = deployment;
  Object.assign(deployment, {
    killAll: () => {
      isStopped = true;
      return killAll();
    },
  });
  return {exits: () => exits, running: () => [...running.values()]};
}

async function start(t: ExecutionContext, work: number) {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: 5},
      {name: 'drillvault', instances: 1},
    ],
    work,
    crash,
  });
  const upstreams = superviseUpstreams(deployment);
  t.teardown(() => deployment.killAll());
  await setUp(deployment, 'examples/agency/setup.fox');
  return {deployment, upstreams};
}

/** Sends the same call through the nodes in turn. */
function createSender(
  deployment: Deployment,
  path: string,
  callOptions: CallOptions,
) {
  let turn = 0;
  return (): Promise<Reply> => {
    const {instances} = deployment;
    const {callerAddress} = instances[turn++ % instances.length]!.settings;
    return call(callerAddress, path, callOptions);
  };
}

async function areAllServing(deployment: Deployment): Promise<boolean> {
  for (const {settings} of crewbooks(deployment)) {
    const reply = await call(settings.callerAddress, '/records/well');
    if (reply.status !== 200) return false;
  }
  return true;
}

/**
 * Crashes at least three instances and waits until all nodes have the
 * quarantine.
 */
async function crashThree(
  deployment: Deployment,
  upstreams: Upstreams,
  send: () => Promise<Reply>,
): Promise<void> {
  while (upstreams.exits() < 3) {
    await send();
    await until('all instances serve again', waitTimeout, () =>
      areAllServing(deployment),
    );
  }
  await pause(quarantineDelay);
}

async function checkFurtherCrashes(
  t: ExecutionContext,
  path: string,
  callOptions: CallOptions,
): Promise<void> {
  const {deployment, upstreams} = await start(t, 5);
  const send = createSender(deployment, path, callOptions);
  await crashThree(deployment, upstreams, send);
  const before = upstreams.exits();
  for (let turn = 0; turn < repeats; turn++) {
    t.true((await send()).status >= 400);
    await until('other requests are served', waitTimeout, () =>
      areAllServing(deployment),
    );
  }
  const further = upstreams.exits() - before;
  t.true(further <= maxFurtherCrashes, `${further} further crashes`);
}

test.serial(
  'a lookup that crashes its instances is not forwarded without limit',
  async t => checkFurtherCrashes(t, `/records/${crash}`, {}),
);

test.serial(
  'an issuance that crashes its instances is not forwarded without limit',
  async t =>
    checkFurtherCrashes(t, '/certificates', {
      method: 'POST',
      body: Buffer.from(`{"crew": "${crash}"}`),
    }),
);

/** Requests in progress at an upstream; 0 while it restarts. */
async function runningAt(address: string): Promise<number> {
  try {
    const answer = await request(`http://${address}/load`);
    const {running} = (await answer.body.json()) as {running: number};
    return running;
  } catch (error) {
    const {code} = error as NodeJS.ErrnoException;
    if (code === 'ECONNREFUSED') return 0;
    throw error;
  }
}

/** Whether an upstream of crewbook processes a request. */
async function isBusy(deployment: Deployment): Promise<boolean> {
  for (const {upstreamAddress} of crewbooks(deployment)) {
    if ((await runningAt(upstreamAddress)) > 0) return true;
  }
  return false;
}

test.serial(
  'crashes that a lookup did not cause put no lookup in quarantine',
  async t => {
    // Three instances are killed at the same time while a lookup is in
    // progress.
    const {deployment, upstreams} = await start(t, 200);
    const send = createSender(deployment, '/records/slow', {});
    for (let round = 1; round <= 4; round++) {
      const lookups = Array.from({length: 4}, send);
      await until('a lookup is in progress', waitTimeout, () =>
        isBusy(deployment),
      );
      for (const upstream of upstreams.running().slice(0, 3)) {
        upstream.signal('SIGKILL');
      }
      await Promise.allSettled(lookups);
      await until(
        'the killed instances exit',
        waitTimeout,
        () => upstreams.exits() >= 3 * round,
      );
      await until('all instances serve again', waitTimeout, () =>
        areAllServing(deployment),
      );
      t.is((await send()).status, 200);
    }
  },
);
