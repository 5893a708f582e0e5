/** Starts a small deployment on reserved ports, for failure tests. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startDeployment} from './deployment.js';
import type {Deployment} from './deployment.js';
import {reservePorts} from './ports.js';
import {createRelay} from './relay.js';
import type {Relay} from './relay.js';
import type {PortRange} from './ports.js';

/** Options of startSmallDeployment. */
export interface SmallDeploymentOptions {
  readonly controls: number;
  /** Number of relays; if any, they are the nodes' homes. Default: none. */
  readonly relays?: number;
  /** Services with the number of their instances. */
  readonly services: ReadonlyArray<{
    readonly name: string;
    readonly instances: number;
  }>;
  /** Additional settings of each node, such as `claimRetention`. */
  readonly node?: object;
  /**
   * Relays between each node and its homes are passed to this function with the
   * node's name; default: nodes reach their homes without relays.
   */
  readonly onRelay?: (node: string, relay: Relay) => void;
  /** Additional settings of each control process. */
  readonly control?: object;
  /** Duration of a piece of the upstreams' work in milliseconds; default 5. */
  readonly work?: number;
  /** A request whose path or body contains this word crashes its upstream. */
  readonly crash?: string;
  /** Further options of the upstream beside a node, by the node's name. */
  readonly upstreamOptions?: (node: string) => readonly string[];
  /** Called with the standard output of control processes, relays and nodes. */
  readonly onOutput?: (program: string, text: string) => void;
}

const defaultWork = 5;

/** Settings as written to a file, not validated. */
interface SettingsFile {
  readonly name: string;
  readonly [key: string]: unknown;
}

const failureDomains = ['hall-a', 'hall-b', 'hall-c'];

/**
 * Starts a small deployment; stopping or killing it releases its ports and
 * removes its files.
 */
export async function startSmallDeployment(
  options: SmallDeploymentOptions,
): Promise<Deployment> {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-settings-'));
  const ports = await reservePorts();
  const homeRelays: Relay[] = [];
  await writeSettings(folder, ports, options, homeRelays);
  const deployment = await startDeployment({
    folder,
    work: options.work ?? defaultWork,
    crash: options.crash,
    upstreamOptions: options.upstreamOptions,
    onOutput: options.onOutput,
    upstreamAddress: ports.nextAddress,
  });

  async function release(): Promise<void> {
    ports.release();
    for (const relay of homeRelays) relay.close();
    await rm(folder, {recursive: true, force: true});
  }

  return {
    ...deployment,
    async stop() {
      const failed = await deployment.stop();
      await release();
      return failed;
    },
    async killAll() {
      await deployment.killAll();
      await release();
    },
  };
}

async function writeSettings(
  folder: string,
  {nextAddress}: PortRange,
  options: SmallDeploymentOptions,
  homeRelays: Relay[],
): Promise<void> {
  const members = Array.from({length: options.controls}, (_, index) => ({
    name: `control-${index + 1}`,
    peerAddress: nextAddress(),
    operatorAddress: nextAddress(),
    distributionAddress: nextAddress(),
    failureDomain: failureDomains[index % failureDomains.length]!,
  }));
  const write = async (settings: SettingsFile) => {
    const file = join(folder, `${settings.name}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
  };
  for (const member of members) {
    await write({
      role: 'control',
      ...member,
      region: 'astana',
      dataFolder: `data/${member.name}`,
      adminAddress: nextAddress(),
      batchWindow: 20,
      members,
      ...options.control,
    });
  }
  const relays = Array.from({length: options.relays ?? 0}, (_, index) => ({
    name: `relay-${index + 1}`,
    distributionAddress: nextAddress(),
    failureDomain: failureDomains[index % failureDomains.length]!,
  }));
  for (const relay of relays) {
    await write({
      role: 'relay',
      ...relay,
      region: 'astana',
      adminAddress: nextAddress(),
      sources: members.map(member => member.distributionAddress),
      relays: relays.map(one => one.distributionAddress),
    });
  }
  const homes = (relays.length > 0 ? relays : members).map(
    home => home.distributionAddress,
  );

  async function homesOf(node: string): Promise<readonly string[]> {
    if (options.onRelay === undefined) return homes;
    const relay = await createRelay(homes);
    homeRelays.push(relay);
    options.onRelay(node, relay);
    return relay.addresses;
  }

  for (const service of options.services) {
    for (let number = 1; number <= service.instances; number++) {
      await write({
        role: 'node',
        name: `${service.name}-${number}`,
        region: 'astana',
        failureDomain: failureDomains[(number - 1) % failureDomains.length]!,
        callerAddress: nextAddress(),
        gateAddress: nextAddress(),
        announceAddress: nextAddress(),
        adminAddress: nextAddress(),
        keeperAddress: nextAddress(),
        homes: await homesOf(`${service.name}-${number}`),
        ...options.node,
      });
    }
  }
}
