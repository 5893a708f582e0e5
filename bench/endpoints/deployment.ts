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

/** Runs homes and a fleet of stand-in nodes as processes. */

/** Resources that the processes used during a measurement. */
export interface ResourceUsage {
  readonly seconds: number;
  /** Processor time of all homes in microseconds. */
  readonly homeCpu: number;
  /** Processor time of the fleet in microseconds. */
  readonly fleetCpu: number;
  /** Bytes between nodes and homes. */
  readonly nodeBytes: number;
  /** Bytes between homes; each byte counts at its sender and its receiver. */
  readonly peerBytes: number;
  /** Usage of the first home; its memory is the current value. */
  readonly first: Sample;
}

/** How long an event took to reach the nodes. */
export interface EventTimes {
  /** Milliseconds until each node that calls the service knew of the event. */
  readonly times: readonly number[];
  /** Number of nodes that did not learn of the event in time. */
  readonly missed: number;
}

/** The running processes of one variant. */
export interface Deployment {
  /** Measures the resources used while `work` runs. */
  measureUsage(work: () => Promise<void>): Promise<ResourceUsage>;
  /** Triggers an event and waits until the nodes know of it. */
  play(event: Event, share?: number): Promise<EventTimes>;
  /** Restarts instances of the crowd, evenly spread over the duration. */
  churn(restarts: number, milliseconds: number): Promise<void>;
  close(): void;
}

/** Size and kind of a deployment. */
export interface Size {
  readonly kind: HomeKind;
  readonly homes: number;
  readonly nodes: number;
  readonly services: number;
  /** Number of services that each node calls. */
  readonly calls: number;
  readonly seed: number;
  /**
   * Number of homes that accept nodes; others only have peers. Default: all.
   */
  readonly nodeHomes?: number;
  /** Number of instances in the crowd of the last home. */
  readonly crowd?: number;
}

const moduleUrl = (name: string) => new URL(name, import.meta.url);

async function nextMessage<T>(child: ChildProcess): Promise<T> {
  const [message] = (await once(child, 'message')) as [T];
  return message;
}

/** Starts the homes, links them to each other, and starts the fleet. */
export async function startDeployment(size: Size): Promise<Deployment> {
  const homes: ChildProcess[] = [];
  const nodeAddresses: string[] = [];
  const peerAddresses: string[] = [];
  for (let index = 0; index < size.homes; index++) {
    const home = fork(moduleUrl('home.js'), [`home-${index}`, size.kind]);
    const ready = await nextMessage<HomeReport & {kind: 'ready'}>(home);
    const link: HomeCommand = {kind: 'link', peers: [...peerAddresses]};
    home.send(link);
    homes.push(home);
    nodeAddresses.push(ready.nodes);
    peerAddresses.push(ready.peers);
  }
  const fleet = fork(moduleUrl('fleet.js'), []);
  const request = (command: FleetCommand) => {
    const answer = nextMessage<FleetReport>(fleet);
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
  await request({kind: 'start', plan});

  async function sample(child: ChildProcess): Promise<Sample> {
    const answer = nextMessage<{kind: 'sample'; sample: Sample}>(child);
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
      const answer = await request({kind: 'play', event, share});
      return answer as FleetReport & {kind: 'played'};
    },
    async churn(restarts, milliseconds) {
      const answer = nextMessage(last);
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
