import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  Configuration,
  Policy,
  Route,
  Service,
} from '../../src/configuration/configuration.js';
import {emptyConfiguration} from '../../src/configuration/configuration.js';
import {createDistributor} from '../../src/distribution/distributor.js';
import type {DistributorOptions} from '../../src/distribution/distributor.js';
import {createFreshnessTracker} from '../../src/distribution/freshness-tracker.js';
import {createHomeConnection} from '../../src/distribution/home-connection.js';
import {createSectionSource} from '../../src/distribution/section-source.js';
import {createSubscriber} from '../../src/distribution/subscriber.js';
import {createFleet} from '../../src/fleet/fleet.js';
import type {Hello} from '../../src/fleet/messages.js';
import {createChannels} from '../../src/link/channel.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {success} from '../../src/result/failure.js';
import {createTimers} from '../../src/time/timers.js';
import type {AcceptedChange, Command, HomeSetup, Reply} from './messages.js';
import {
  countBytes,
  readMemory,
  readSetup,
  readUsage,
  serveCommands,
  sendReply,
  wallTime,
} from './stand-in.js';

/**
 * A distributor process of the bench: a source whose configuration changes on
 * the bench's commands, or a relay of sources. It does not include the commit
 * in the control group.
 */

type DistributorInput = Pick<DistributorOptions, 'source' | 'barrier' | 'asOf'>;

const setup = readSetup<HomeSetup>();
const timers = createTimers();
const random = createRandom(setup.seed);
const log = createLog(setup.name, 'error');
const counted = countBytes(createTcpNetwork());
const {network} = counted;
const self: Hello = {
  kind: setup.sources.length > 0 ? 'relay' : 'control',
  name: setup.name,
  failureDomain: 'hall-a',
  region: 'astana',
};
const observers: Array<() => void> = [];
let configuration = createConfiguration();

/** Creates a configuration of the size given in the setup. */
function createConfiguration(): Configuration {
  const services = new Map<string, Service>();
  const routes = new Map<string, Route>();
  for (let index = 0; index < setup.services; index++) {
    const service = `service-${index}`;
    services.set(service, {name: service, slowStart: 10_000});
    for (let number = 0; number < setup.routesPerService; number++) {
      const name = `${service}-route-${number}`;
      routes.set(name, {
        name,
        prefix: `/${service}/${number}`,
        methods: ['GET', 'POST'],
        service,
        policy: 'lookups',
      });
    }
  }
  const policies = new Map([['lookups', createPolicy()]]);
  return {...emptyConfiguration, version: 1, services, routes, policies};
}

function createPolicy(): Policy {
  return {
    name: 'lookups',
    priority: 'normal',
    deadline: 2000,
    attempts: 2,
    repeatability: 'idempotent',
    bodyLimit: 65_536,
    objective: {target: 0.999, latency: 50},
  };
}

/** Changes one random service. */
function changeService(): AcceptedChange {
  const version = configuration.version + 1;
  const name = `service-${random.integer(setup.services)}`;
  const services = new Map(configuration.services);
  services.set(name, {name, slowStart: 10_000 + version});
  configuration = {...configuration, version, services};
  const at = wallTime();
  for (const observe of observers) observe();
  return {version, at};
}

async function changeRepeatedly(count: number, gap: number): Promise<Reply> {
  const changes: AcceptedChange[] = [];
  const start = wallTime();
  for (let index = 0; index < count; index++) {
    const wait = start + index * gap - wallTime();
    if (wait > 0) await sleep(wait);
    changes.push(changeService());
  }
  return {kind: 'changes', changes};
}

function createSource(): DistributorInput {
  const barrier = async () => {
    const {version} = configuration;
    await sleep(setup.round);
    return success(version);
  };
  const source = createSectionSource({
    current: () => configuration,
    onChange: observe => void observers.push(observe),
  });
  const freshness = createFreshnessTracker(barrier, timers);
  return {source, barrier, asOf: freshness.asOf};
}

function createRelay() {
  const home = createHomeConnection({
    network,
    homes: setup.sources,
    self,
    timers,
    random,
    log,
  });
  const subscriber = createSubscriber({home, timers, random, log});
  const input: DistributorInput = {
    source: subscriber.sections,
    barrier: subscriber.barrier,
    asOf: home.asOf,
  };
  return {home, upstream: input};
}

async function main(): Promise<void> {
  const relay = setup.sources.length > 0 ? createRelay() : undefined;
  const input = relay?.upstream ?? createSource();
  const distributor = createDistributor({
    ...input,
    timers,
    random,
    log,
    batchWindow: setup.batchWindow,
    ringLength: setup.ringLength,
    syncBytesPerSecond: setup.syncBytesPerSecond,
    safeguards: {admission: setup.isAdmitting},
  });
  const fleet = createFleet({
    self,
    timers,
    log,
    position: distributor.position,
  });
  fleet.onHello((_hello, channels) => distributor.accept(channels));
  relay?.home.onChannels(fleet.report);
  const listener = await network.listen('127.0.0.1:0', link => {
    fleet.accept(createChannels(link));
  });

  async function execute(command: Command): Promise<Reply> {
    switch (command.kind) {
      case 'changes':
        return changeRepeatedly(command.count, command.gap);
      case 'usage': {
        const usage = readUsage(counted);
        const counts = distributor.counts();
        return {kind: 'usage', usage: {...usage, counts}};
      }
      case 'memory':
        return readMemory();
      case 'synced': {
        const summary = fleet.summary();
        return {
          kind: 'synced',
          nodes: summary.inForce,
          least: summary.least ?? 0,
        };
      }
      default:
        throw new Error(`a home does not support ${command.kind}`);
    }
  }

  serveCommands(execute);
  sendReply({kind: 'ready', address: listener.address});
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`);
  process.exit(1);
});
