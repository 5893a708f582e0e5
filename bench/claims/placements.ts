/**
 * Three places where claims could be stored, each as an implementation of
 * `Claims`.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Packr} from 'msgpackr';
import {createClaimTable} from '../../src/claims/claim-table.js';
import type {ClaimTable} from '../../src/claims/claim-table.js';
import {Claims} from '../../src/claims/claims.js';
import type {Acquisition, ClaimRequest} from '../../src/claims/claims.js';
import {claimCodes} from '../../src/claims/codes.js';
import {createClaims} from '../../src/claims/create-claims.js';
import {createKeeper} from '../../src/claims/keeper.js';
import type {ClaimKeeper} from '../../src/claims/keeper.js';
import type {Acquire, Settle, Vote} from '../../src/claims/messages.js';
import type {
  Keeper,
  KeeperAssignment,
} from '../../src/configuration/configuration.js';
import {StateMachine} from '../../src/consensus/consensus.js';
import type {Consensus, Member} from '../../src/consensus/consensus.js';
import {createConsensus} from '../../src/consensus/create-consensus.js';
import {createFolderDisk} from '../../src/disk/folder-disk.js';
import type {Link, Network} from '../../src/link/link.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import type {Timers} from '../../src/time/timers.js';
import {reservePorts} from '../deployment/ports.js';

/** Claims with the parts that store them. */
export interface Placement {
  readonly claims: Claims;
  /** Number of claims in each store, to check that no work was skipped. */
  sizes(): number[];
  stop(): Promise<void>;
}

const limits = {retention: 900_000, claims: 200_000, watchers: 16};
const domains = ['rusayl-a', 'rusayl-b', 'seeb-c'];
const service = 'stock-desk';
const log = createSilentLog();
const packr = new Packr({useRecords: false});

/** Stores claims in the memory of the gate. */
export function createGatePlacement(timers: Timers): Placement {
  const table = createClaimTable(timers, limits);
  let last = 0;
  const claims = createTableClaims(
    () => `gate/${++last}`,
    async acquire => table.vote(acquire),
    settle => table.settle(settle),
  );
  return {claims, sizes: () => [table.size], stop: async () => {}};
}

/** Stores claims with three keepers, two of which must grant a claim. */
export async function createKeeperPlacement(
  timers: Timers,
  network: Network,
): Promise<Placement & {readonly assignment: KeeperAssignment}> {
  const ports = await reservePorts();
  const members: Keeper[] = [];
  const keepers: ClaimKeeper[] = [];
  for (const failureDomain of domains) {
    const self = {
      instance: `stock-desk-${failureDomain}`,
      incarnation: members.length + 1,
      address: ports.nextAddress(),
      failureDomain,
    };
    members.push(self);
    keepers.push(await createKeeper({self, network, timers, log, limits}));
  }
  const assignment = {epoch: 1, members};
  for (const keeper of keepers) keeper.assign(service, assignment);
  const claims = createClaims({
    self: 'gate/1',
    network,
    timers,
    random: createRandom(1),
    log,
    assignment: () => assignment,
  });
  return {
    claims,
    assignment,
    sizes: () => keepers.map(keeper => keeper.size),
    async stop() {
      claims.stop();
      for (const keeper of keepers) await keeper.stop();
      ports.release();
    },
  };
}

/**
 * Stores claims in the replicated log of three control processes with disks.
 */
export async function createLogPlacement(
  timers: Timers,
  network: Network,
): Promise<Placement> {
  const folder = await mkdtemp(join(tmpdir(), 'claims-log-'));
  const ports = await reservePorts();
  const members: Member[] = [];
  for (const failureDomain of domains) {
    const name = `control-${failureDomain}`;
    members.push({name, address: ports.nextAddress(), failureDomain});
  }
  const group: Consensus[] = [];
  const tables: ClaimTable[] = [];
  for (const [index, self] of members.entries()) {
    const table = createClaimTable(timers, limits);
    tables.push(table);
    group.push(
      await createConsensus({
        self,
        members,
        disk: await createFolderDisk(join(folder, self.name)),
        network,
        timers,
        random: createRandom(index + 1),
        log,
        machine: createClaimMachine(table),
        heartbeat: 50,
        electionTimeout: 500,
        snapshotEntries: 1_000_000,
      }),
    );
  }
  const leader = await findLeader(group, timers);
  const address = ports.nextAddress();
  const listener = await network.listen(address, link =>
    serveProposals(link, leader),
  );
  const link = await network.connect(address);
  const propose = createProposer(link);
  let last = 0;
  const claims = createTableClaims(
    () => `gate/${++last}`,
    acquire => propose(acquire) as Promise<Vote>,
    settle => void propose(settle),
  );
  return {
    claims,
    sizes: () => tables.map(table => table.size),
    async stop() {
      link.close();
      await listener.close();
      for (const member of group) await member.stop();
      ports.release();
      await rm(folder, {recursive: true, force: true});
    },
  };
}

/** Creates claims for a store that decides with a single vote. */
function createTableClaims(
  nextClaim: () => string,
  vote: (acquire: Acquire) => Promise<Vote>,
  settle: (settle: Settle) => void,
): Claims {
  return new (class extends Claims {
    async acquire(request: ClaimRequest): Promise<Acquisition> {
      const {key, fingerprint} = request;
      const claim = nextClaim();
      const work = {service, key, fingerprint, claim};
      const result = await vote({
        kind: 'acquire',
        epoch: 1,
        lease: 10_000,
        ...work,
      });
      if (result.kind !== 'granted') {
        const code = claimCodes.outcomeUnknown;
        return {kind: 'refused', code, message: code.meaning, retryAfter: 1};
      }
      const end = (settlement: Settle['settlement']) =>
        settle({kind: 'settle', ...work, settlement});
      return {
        kind: 'granted',
        claim: {
          release: () => end({kind: 'released'}),
          abandon: () => end({kind: 'abandoned'}),
          complete: answer => end({kind: 'answered', answer}),
        },
      };
    }
  })();
}

function createClaimMachine(table: ClaimTable): StateMachine {
  return new (class extends StateMachine {
    apply(_index: number, entry: Uint8Array): Uint8Array {
      const message = packr.unpack(entry) as Acquire | Settle;
      if (message.kind === 'acquire') return packr.pack(table.vote(message));
      table.settle(message);
      return packr.pack({kind: 'settled'});
    }

    snapshot(): Uint8Array {
      return packr.pack([...table.records()]);
    }

    restore(_index: number, snapshot: Uint8Array): void {
      table.merge(packr.unpack(snapshot));
      table.sort();
    }
  })();
}

function serveProposals(link: Link, leader: Consensus): void {
  link.onMessage(message => {
    const {id, entry} = message as {id: number; entry: object};
    void leader.propose(packr.pack(entry)).then(result => {
      const reply = result.ok ? packr.unpack(result.value) : {kind: 'stale'};
      link.send({id, reply});
    });
  });
}

function createProposer(link: Link): (entry: object) => Promise<unknown> {
  const pendingReplies = new Map<number, (reply: unknown) => void>();
  let last = 0;
  link.onMessage(message => {
    const {id, reply} = message as {id: number; reply: unknown};
    pendingReplies.get(id)?.(reply);
    pendingReplies.delete(id);
  });
  return entry =>
    new Promise(resolve => {
      pendingReplies.set(++last, resolve);
      link.send({id: last, entry});
    });
}

async function findLeader(
  group: readonly Consensus[],
  timers: Timers,
): Promise<Consensus> {
  for (;;) {
    const leader = group.find(member => member.status().role === 'leader');
    if (leader !== undefined) return leader;
    await new Promise<void>(done => timers.after(20, done));
  }
}
