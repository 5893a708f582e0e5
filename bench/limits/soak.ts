/**
 * Real processes whose upstreams name limits and report shutdowns, while nodes,
 * upstreams and control processes are killed and frozen, and nodes are cut off
 * from control.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {Random} from '../../src/random/random.js';
import {createRandom} from '../../src/random/random.js';
import type {DeployedInstance, Deployment} from '../deployment/deployment.js';
import type {Program} from '../deployment/program.js';
import type {Relay} from '../deployment/relay.js';
import {setUp} from '../deployment/setup.js';
import {until} from '../deployment/until.js';
import {startSmallDeployment} from '../deployment/small-deployment.js';
import type {ReportChange, ReportRecord} from '../upstreams/reports.js';
import type {ObservedRun, ProcessRecord, SentRequest} from './checks.js';

/** Options of a soak; times in milliseconds. */
export interface SoakOptions {
  readonly seed: number;
  readonly instances: number;
  /** Requests per second. */
  readonly rate: number;
  readonly duration: number;
}

/** Milliseconds. */
const eventGap = 700;
const freezeTime = 1_500;
const controlFreezeTime = 2_500;
const cutTime = 4_000;
const settleTime = 3_000;
const leaveTime = 4_000;
const limitTime = 6_000;
const restartTime = 1_500;
const callTimeout = 5_000;
const startTimeout = 60_000;

const malformed = ['abc', '-5', 'NaN', '1e999', '', '5,0'];

interface RunningInstance {
  readonly deployed: DeployedInstance;
  node: Program;
  upstream: Program;
  /** Whether its reports or its upstream are being changed. */
  isReporting: boolean;
  /** Whether its node is being restarted or frozen. */
  isDisturbed: boolean;
}

/** The result of a soak. */
export interface SoakResult extends ObservedRun {
  /** Number of events by kind. */
  readonly events: Readonly<Record<string, number>>;
}

/** Runs the soak and returns what callers and instances saw. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const relays = new Map<string, Relay>();
  const deployment = await startSmallDeployment({
    onRelay: (node, relay) => void relays.set(node, relay),
    controls: 3,
    services: [
      {name: 'crewbook', instances: options.instances},
      {name: 'drillvault', instances: 1},
    ],
    work: 20,
    node: {warmUp: 0},
  });
  try {
    await setUp(deployment, 'examples/agency/setup.fox');
    return await observe(deployment, relays, options);
  } finally {
    await deployment.killAll();
  }
}

async function observe(
  deployment: Deployment,
  relays: ReadonlyMap<string, Relay>,
  {seed, rate, duration, instances: count}: SoakOptions,
): Promise<SoakResult> {
  const random = createRandom(seed);
  const instances = deployment.instances
    .filter(({service}) => service === 'crewbook')
    .map((deployed): RunningInstance => ({
      deployed,
      node: deployed.node,
      upstream: deployed.upstream,
      isReporting: false,
      isDisturbed: false,
    }));
  const events = createEvents(deployment, relays, instances, rate / count);
  const load = sendContinuously(instances, rate, createRandom(seed));
  const counts: Record<string, number> = {};
  const running: Array<Promise<void>> = [];
  const end = Date.now() + duration;
  while (Date.now() < end) {
    await pause(eventGap * (0.5 + random.fraction()));
    const name = random.pick(events.names);
    counts[name] = (counts[name] ?? 0) + 1;
    // Events overlap, so each one has random numbers of its own.
    const own = createRandom(random.integer(2 ** 31));
    running.push(events.start(name, own));
  }
  await Promise.all(running);
  await pause(settleTime);
  const requests = await load.stop();
  await Promise.all(instances.map(events.saveRecord));
  const {processes, disturbed} = events;
  return {requests, processes, disturbed, events: counts};
}

/** What happens to an instance, until it is over. */
type SoakEvent = (instance: RunningInstance, random: Random) => Promise<void>;

/** Changes of reports, and faults of processes, that overlap each other. */
function createEvents(
  deployment: Deployment,
  relays: ReadonlyMap<string, Relay>,
  instances: readonly RunningInstance[],
  share: number,
) {
  const processes: ProcessRecord[] = [];
  const disturbed: Array<{node: string; at: number}> = [];

  async function saveRecord({deployed, upstream}: RunningInstance) {
    const answer = await request(`http://${deployed.upstreamAddress}/reports`);
    const record = (await answer.body.json()) as ReportRecord;
    const instance = deployed.settings.name;
    processes.push({...record, instance, id: upstream.id});
  }

  async function report(
    {deployed}: RunningInstance,
    reported: Record<string, string>,
  ): Promise<void> {
    const query = new URLSearchParams(reported).toString();
    const url = `http://${deployed.upstreamAddress}/control/report?${query}`;
    const answer = await request(url, {method: 'POST'});
    await answer.body.dump();
  }

  /** A limit between a twentieth and all of the usual share. */
  const limit = (random: Random) =>
    (share * (0.05 + 0.95 * random.fraction())).toFixed(1);

  async function replaceUpstream(instance: RunningInstance): Promise<void> {
    const {deployed} = instance;
    // The record ends before the last requests that the process gets.
    await saveRecord(instance);
    instance.upstream.signal('SIGKILL');
    await instance.upstream.ended();
    const name = `upstream of ${deployed.settings.name}`;
    instance.upstream = deployment.restart(name);
    await until(`the ${name} answers`, startTimeout, () =>
      isAnswering(deployed.upstreamAddress),
    );
    await pause(restartTime);
  }

  async function restartNode(
    instance: RunningInstance,
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> {
    const {name} = instance.deployed.settings;
    disturbed.push({node: name, at: Date.now()});
    instance.node.signal(signal);
    await instance.node.ended();
    instance.node = deployment.restart(name);
    disturbed.push({node: name, at: Date.now()});
    await pause(restartTime);
  }

  const reports: Record<string, SoakEvent> = {
    async namesLimit(instance, random) {
      await report(instance, {limit: limit(random)});
      await pause(limitTime * (1 + random.fraction()));
      await report(instance, {limit: limit(random)});
      await pause(limitTime);
      await report(instance, {});
    },
    async namesNone(instance) {
      await report(instance, {limit: '0'});
      await pause(limitTime);
      await report(instance, {});
    },
    async namesMalformed(instance, random) {
      await report(instance, {limit: random.pick(malformed), leaving: 'maybe'});
      await pause(limitTime / 4);
      await report(instance, {});
    },
    async leaves(instance) {
      await report(instance, {leaving: '1'});
      await pause(leaveTime);
      await replaceUpstream(instance);
    },
    async crashesAtLimit(instance, random) {
      await report(instance, {limit: limit(random)});
      await pause(limitTime / 2);
      await replaceUpstream(instance);
    },
  };

  const faults: Record<string, SoakEvent> = {
    killedNode: instance => restartNode(instance, 'SIGKILL'),
    stoppedNode: instance => restartNode(instance, 'SIGTERM'),
    async cutNode({deployed}) {
      const relay = relays.get(deployed.settings.name)!;
      relay.cut();
      await pause(cutTime);
      relay.heal();
    },
    async frozenNode({deployed, node}) {
      disturbed.push({node: deployed.settings.name, at: Date.now()});
      await freeze([node], freezeTime);
      disturbed.push({node: deployed.settings.name, at: Date.now()});
    },
  };

  async function start(name: string, random: Random): Promise<void> {
    if (name === 'frozenControl') {
      return freeze(deployment.controls, controlFreezeTime);
    }
    const isFault = name in faults;
    const flag = isFault ? 'isDisturbed' : 'isReporting';
    const free = instances.filter(instance => !instance[flag]);
    // The others keep serving.
    if (free.length * 2 <= instances.length) return;
    const instance = random.pick(free);
    instance[flag] = true;
    await (isFault ? faults : reports)[name]!(instance, random);
    instance[flag] = false;
  }

  const names = [...Object.keys(reports), ...Object.keys(faults)];
  return {
    names: [...names, 'frozenControl'],
    start,
    saveRecord,
    processes,
    disturbed,
  };
}

/** Whether an upstream has started. */
async function isAnswering(address: string): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/load`);
    await answer.body.dump();
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') return false;
    throw error;
  }
}

/** Suspends programs for some time, in which nothing they hold changes. */
async function freeze(
  programs: readonly Program[],
  duration: number,
): Promise<void> {
  for (const program of programs) program.signal('SIGSTOP');
  await pause(duration);
  for (const program of programs) program.signal('SIGCONT');
}

/** Sends lookups at random nodes until it is stopped. */
function sendContinuously(
  instances: readonly RunningInstance[],
  rate: number,
  random: Random,
) {
  const agent = new Agent({connections: null, keepAliveTimeout: 60_000});
  const requests: SentRequest[] = [];
  const pending = new Set<Promise<void>>();
  let isStopped = false;

  async function sendOne(number: number): Promise<void> {
    const {settings} = random.pick(instances).deployed;
    const tag = `${settings.name}#${number}`;
    const sentAt = Date.now();
    const end = await callLookup(settings.callerAddress, tag, agent);
    requests.push({
      tag,
      node: settings.name,
      sentAt,
      endedAt: Date.now(),
      ...end,
    });
  }

  async function run(): Promise<void> {
    for (let number = 0; !isStopped; number++) {
      const one = sendOne(number);
      pending.add(one);
      void one.finally(() => pending.delete(one));
      await pause(-Math.log(1 - random.fraction()) * (1_000 / rate));
    }
    await Promise.all(pending);
    await agent.close();
  }

  const running = run();
  return {
    async stop() {
      isStopped = true;
      await running;
      return requests;
    },
  };
}

type CallEnd = Omit<SentRequest, 'tag' | 'node' | 'sentAt' | 'endedAt'>;

async function callLookup(
  address: string,
  tag: string,
  dispatcher: Agent,
): Promise<CallEnd> {
  try {
    const answer = await request(`http://${address}/records/any`, {
      dispatcher,
      headers: {'x-tag': tag},
      headersTimeout: callTimeout,
    });
    const text = await answer.body.text();
    const effect = String(answer.headers['foxbarrow-effect'] ?? '');
    const status = answer.statusCode;
    if (status !== 200) return {status, effect};
    const body = JSON.parse(text) as {process: number; reported: ReportChange};
    const {process: answeredBy, reported} = body;
    return {status, effect, answeredBy, reported};
  } catch {
    // The node was killed or is frozen.
    return {status: 0, effect: ''};
  }
}
