import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {Deployment, DeployedInstance} from '../../bench/deployment/deployment.js';
import type {Program} from '../../bench/deployment/program.js';
import {setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {CallOptions, Reply} from '../../bench/demo/calls.js';

const limit = 60_000;
const crash = 'crashing';

/** Milliseconds from the third crash until every node knows the request. */
const knownWithin = 3_000;
/** Instances that one request may end after that. */
const furtherEnds = 3;
const repeats = 12;

/** The upstreams of crewbook, each started again when it has ended. */
interface Upstreams {
  /** Ends so far. */
  ends(): number;
  running(): readonly Program[];
}

function crewbooks(deployment: Deployment): DeployedInstance[] {
  return deployment.instances.filter(({service}) => service === 'crewbook');
}

/** Starts each upstream of crewbook again when it has ended, as its VM would. */
function keepUp(deployment: Deployment): Upstreams {
  const running = new Map<string, Program>();
  let ends = 0;
  let isOver = false;

  async function follow(name: string, upstream: Program): Promise<void> {
    running.set(name, upstream);
    await upstream.ended();
    if (isOver) return;
    ends++;
    void follow(name, deployment.restart(`upstream of ${name}`));
  }

  for (const {upstream, settings} of crewbooks(deployment)) {
    void follow(settings.name, upstream);
  }
  const {killAll: end} = deployment;
  Object.assign(deployment, {
    end: () => {
      isOver = true;
      return end();
    },
  });
  return {ends: () => ends, running: () => [...running.values()]};
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
  const upstreams = keepUp(deployment);
  t.teardown(() => deployment.killAll());
  await setUp(deployment, 'examples/agency/setup.fox');
  return {deployment, upstreams};
}

/** Sends a call through one node after the other. */
function createSender(deployment: Deployment, path: string, sent: CallOptions) {
  let turn = 0;
  return (): Promise<Reply> => {
    const {instances: places} = deployment;
    const {callerAddress} = places[turn++ % places.length]!.settings;
    return call(callerAddress, path, sent);
  };
}

async function areAllBack(deployment: Deployment): Promise<boolean> {
  for (const {settings} of crewbooks(deployment)) {
    const reply = await call(settings.callerAddress, '/records/well');
    if (reply.status !== 200) return false;
  }
  return true;
}

/** Ends three instances or more, and waits until every node knows of it. */
async function endThree(
  deployment: Deployment,
  upstreams: Upstreams,
  send: () => Promise<Reply>,
): Promise<void> {
  while (upstreams.ends() < 3) {
    await send();
    await until('instances are back', limit, () => areAllBack(deployment));
  }
  await pause(knownWithin);
}

async function checkRepeats(
  t: ExecutionContext,
  path: string,
  sent: CallOptions,
): Promise<void> {
  const {deployment, upstreams} = await start(t, 5);
  const send = createSender(deployment, path, sent);
  await endThree(deployment, upstreams, send);
  const before = upstreams.ends();
  for (let turn = 0; turn < repeats; turn++) {
    t.true((await send()).status >= 400);
    await until('others are served', limit, () => areAllBack(deployment));
  }
  const further = upstreams.ends() - before;
  t.true(further <= furtherEnds, `${further} more instances ended`);
}

test.serial(
  'a lookup that ends its instances is not sent on for ever',
  async t => checkRepeats(t, `/records/${crash}`, {}),
);

test.serial(
  'an issuance that ends its instances is not sent on for ever',
  async t =>
    checkRepeats(t, '/certificates', {
      method: 'POST',
      body: Buffer.from(`{"crew": "${crash}"}`),
    }),
);

/** Work under way at an upstream; none at one that is not back yet. */
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

/** Whether an upstream of crewbook has work under way. */
async function isBusy(deployment: Deployment): Promise<boolean> {
  for (const {upstreamAddress} of crewbooks(deployment)) {
    if ((await runningAt(upstreamAddress)) > 0) return true;
  }
  return false;
}

test.serial('instances that crash by themselves blame no lookup', async t => {
  // Three instances are killed together beside a lookup that is under way.
  const {deployment, upstreams} = await start(t, 200);
  const send = createSender(deployment, '/records/slow', {});
  for (let round = 1; round <= 4; round++) {
    const lookups = Array.from({length: 4}, send);
    await until('a lookup is under way', limit, () => isBusy(deployment));
    for (const upstream of upstreams.running().slice(0, 3)) {
      upstream.signal('SIGKILL');
    }
    await Promise.allSettled(lookups);
    await until('they end', limit, () => upstreams.ends() >= 3 * round);
    await until('instances are back', limit, () => areAllBack(deployment));
    t.is((await send()).status, 200);
  }
});
