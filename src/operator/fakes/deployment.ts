import type {ExecutionContext} from 'ava';
import type {ConfigurationMachine} from '../../configuration/create-configuration-machine.js';
import {createSampleMachine} from '../../configuration/fakes/sample.js';
import {createFakeGroup} from '../../consensus/fakes/fake-consensus.js';
import type {FakeGroup} from '../../consensus/fakes/fake-consensus.js';
import type {FleetSummary} from '../../fleet/summary.js';
import type {Listener} from '../../link/link.js';
import {createSilentLog} from '../../log/log.js';
import {success} from '../../result/failure.js';
import {defaults} from '../../settings/defaults.js';
import {createTimers} from '../../time/timers.js';
import {createOperatorServer} from '../create-operator-server.js';

const names = ['control-1', 'control-2', 'control-3'];

/** Two nodes: both have version 1 and below, one has those above. */
const fleet = {
  summary: (version = 0): FleetSummary => ({
    version,
    isSettled: true,
    nodes: 2,
    inForce: version < 2 ? 2 : 1,
    behind: version < 2 ? 0 : 1,
    unknown: 0,
    least: 1,
    domains: [],
    laggards: version < 2 ? [] : ['crewbook-1'],
    homes: [],
  }),
};

/** Three control processes with operators' servers over a fake group. */
export interface Deployment {
  readonly group: FakeGroup<ConfigurationMachine>;
  readonly servers: ReadonlyMap<string, Listener>;
  readonly addresses: readonly string[];
  close(): Promise<void>;
}

/** Opens the servers on free ports; `control-1` leads. */
export async function deploy(
  t: ExecutionContext,
  token?: string,
  editsOf: (name: string) => number = () => 3,
): Promise<Deployment> {
  const group = createFakeGroup(names, createSampleMachine);
  const servers = new Map<string, Listener>();
  for (const name of names) {
    const server = await createOperatorServer({
      name,
      address: '127.0.0.1:0',
      consensus: group.member(name),
      machine: group.machine(name),
      fleet,
      keepers: {
        acceptLoss: async service =>
          success({
            code: 1000,
            message: `loss of ${service} accepted`,
            version: 2,
          }),
      },
      timers: createTimers(),
      limits: {...defaults.limits, edits: editsOf(name)},
      leaderAddress: leader => servers.get(leader)?.address,
      token,
      bodyLimit: 10_000,
      log: createSilentLog(),
    });
    servers.set(name, server);
  }
  const addresses = [...servers.values()].map(({address}) => address);
  const close = async () => {
    for (const server of servers.values()) await server.close();
  };
  t.teardown(close);
  return {group, servers, addresses, close};
}
