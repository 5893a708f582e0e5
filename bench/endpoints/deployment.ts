import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import type {
  Event,
  FleetCommand,
  FleetPlan,
  FleetReport,
  HomeCommand,
  HomeKind,
  HomeReport,
  Sample,
} from './messages.js';

/** Homes and a fleet of stand-in nodes, as processes. */

/** What all processes spent in some time. */
export interface ResourceUsage {
  readonly seconds: number;
  /** Microseconds of processor time, all homes together. */
  readonly homeCpu: number;
  /** The same of the fleet. */
  readonly fleetCpu: number;
  /** Bytes between nodes and homes. */
  readonly nodeBytes: number;
  /** Bytes between homes, as sent and as received. */
  readonly peerBytes: number;
  /** Of the first home alone: processor time, bytes to homes, memory. */
  readonly first: Sample;
}

/** What an event took. */
export interface EventTimes {
  readonly times: readonly number[];
  readonly missed: number;
}

/** Processes of one variant. */
export interface Deployment {
  /** Measures what is spent while `work` runs. */
  measureUsage(work: () => Promise<void>): Promise<ResourceUsage>;
  play(event: Event, share?: number): Promise<EventTimes>;
  /** Restarts instances of the crowd, evenly spread over the time. */
  churn(restarts: number, milliseconds: number): Promise<void>;
  close(): void;
}

/** Size of a deployment. */
export interface Size {
  readonly kind: HomeKind;
  readonly homes: number;
  readonly nodes: number;
  readonly services: number;
  readonly calls: number;
  readonly seed: number;
  /** Homes that take nodes; the others have peers only. All by default. */
  readonly nodeHomes?: number;
  /** Instances that the last home makes up. */
  readonly crowd?: number;
}

const module = (name: string) => new URL(name, import.meta.url);

async function next<T>(child: ChildProcess): Promise<T> {
  const [message] = (await once(child, 'message')) as [T];
  return message;
}

/** Starts homes, links them, and starts the fleet. */
export async function startDeployment(size: Size): Promise<Deployment> {
  const homes: ChildProcess[] = [];
  const nodeAddresses: string[] = [];
  const peerAddresses: string[] = [];
  for (let index = 0; index < size.homes; index++) {
    const home = fork(module('home.js'), [`home-${index}`, size.kind]);
    const ready = await next<HomeReport & {kind: 'ready'}>(home);
    const link: HomeCommand = {kind: 'link', peers: [...peerAddresses]};
    home.send(link);
    homes.push(home);
    nodeAddresses.push(ready.nodes);
    peerAddresses.push(ready.peers);
  }
  const fleet = fork(module('fleet.js'), []);
  const ask = (command: FleetCommand) => {
    const answer = next<FleetReport>(fleet);
    fleet.send(command);
    return answer;
  };
  const plan: FleetPlan = {
    ...size,
    homes: nodeAddresses.slice(0, size.nodeHomes ?? size.homes),
  };
  const last = homes.at(-1)!;
  if (size.crowd !== undefined && size.crowd > 0) {
    const {services} = size;
    const command: HomeCommand = {
      kind: 'crowd',
      crowd: {instances: size.crowd, services},
    };
    last.send(command);
  }
  await ask({kind: 'start', plan});

  async function sample(child: ChildProcess): Promise<Sample> {
    const answer = next<{kind: 'sample'; sample: Sample}>(child);
    child.send({kind: 'sample'});
    return (await answer).sample;
  }

  const sampleAll = async () => ({
    at: Date.now(),
    homes: await Promise.all(homes.map(sample)),
    fleet: await sample(fleet),
  });

  return {
    async measureUsage(work) {
      const before = await sampleAll();
      await work();
      const after = await sampleAll();
      const total = (key: keyof Sample) =>
        after.homes.reduce((sum, one) => sum + one[key], 0) -
        before.homes.reduce((sum, one) => sum + one[key], 0);
      return {
        seconds: (after.at - before.at) / 1000,
        homeCpu: total('cpu'),
        fleetCpu: after.fleet.cpu - before.fleet.cpu,
        nodeBytes: after.fleet.nodeBytes - before.fleet.nodeBytes,
        peerBytes: total('peerBytes'),
        first: subtract(after.homes[0]!, before.homes[0]!),
      };
    },
    async play(event, share = 0) {
      const answer = await ask({kind: 'play', event, share});
      return answer as FleetReport & {kind: 'played'};
    },
    async churn(restarts, milliseconds) {
      const answer = next(last);
      const command: HomeCommand = {kind: 'churn', restarts, milliseconds};
      last.send(command);
      await answer;
    },
    close() {
      for (const child of [...homes, fleet]) child.disconnect();
    },
  };
}

function subtract(after: Sample, before: Sample): Sample {
  return {
    cpu: after.cpu - before.cpu,
    nodeBytes: after.nodeBytes - before.nodeBytes,
    peerBytes: after.peerBytes - before.peerBytes,
    memory: after.memory,
  };
}
