/** The keeper's side of claims: holds them for the services it is named for. */
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {Link, Listener, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {createClaimTable} from './claim-table.js';
import type {ClaimLimits} from './claim-table.js';
import type {ClaimRecord, Envelope, Question, Reply} from './messages.js';
import {createKeeperClient} from './keeper-client.js';
import {allKeeperSafeguards, createServiceClaims, isSameIncarnation} from './service-claims.js';
import type {KeeperSafeguards, SealedClaims, ServiceClaims} from './service-claims.js';

/** What a keeper is made of. */
export interface KeeperOptions {
  /** This life of the node; its address is where it listens. */
  readonly self: Keeper;
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  readonly limits: ClaimLimits;
  /** Test only; all on by default. */
  readonly safeguards?: Partial<KeeperSafeguards>;
}

/** Holds claims in memory while its node lives. */
export interface ClaimKeeper {
  /** Takes part in a service's keeper set, or leaves it. */
  assign(service: string, assignment: KeeperAssignment): void;
  /**
   * Before a planned stop, once the instance is announced as draining: waits
   * until other keepers have taken over, at most `limit` milliseconds. Two
   * nodes restarted one after the other would else lose what they hold.
   */
  leave(limit: number): Promise<void>;
  /** Claims held, over all services. */
  readonly size: number;
  stop(): Promise<void>;
}

const sweepPeriod = 1000;
const leavePoll = 50;
/** Milliseconds in which the next set seals the one that this keeper left. */
const handoverTime = 500;
/** Claims handed over before the node's requests get the next turn. */
const pageRecords = 160;

/** Creates a keeper that listens on its address. */
export async function createKeeper(
  options: KeeperOptions,
): Promise<ClaimKeeper> {
  const {self, network, timers, limits} = options;
  const log = options.log.scope('keeper');
  const safeguards = {...allKeeperSafeguards, ...options.safeguards};
  const peers = createKeeperClient(network, timers);
  const tenures = new Map<string, ServiceClaims>();
  const links = new Set<Link>();

  function find(service: string): ServiceClaims {
    let tenure = tenures.get(service);
    if (tenure === undefined) {
      const createTable = () => createClaimTable(timers, limits);
      tenure = createServiceClaims({
        service,
        self,
        keeperClient: peers,
        timers,
        createTable,
        retention: limits.retention,
        safeguards,
      });
      tenures.set(service, tenure);
    }
    return tenure;
  }

  function sendPages(sealed: SealedClaims, reply: (reply: Reply) => void): void {
    const {active, quarantine} = sealed;
    const records = sealed.records[Symbol.iterator]();

    function next(): void {
      const page: ClaimRecord[] = [];
      let taken = records.next();
      while (!taken.done) {
        page.push(taken.value);
        if (page.length === pageRecords) break;
        taken = records.next();
      }
      const last = taken.done === true;
      reply({kind: 'sealed', active, quarantine, records: page, last});
      if (!last) timers.after(0, next);
    }

    next();
  }

  function answer(question: Question, reply: (reply: Reply) => void): void {
    const tenure = find(question.service);
    switch (question.kind) {
      case 'acquire':
        return reply(tenure.vote(question, reply));
      case 'settle':
        return reply({kind: tenure.settle(question) ? 'settled' : 'stale'});
      case 'seal':
        return sendPages(
          tenure.seal(question.epoch, question.successor),
          reply,
        );
      case 'inquire':
        return reply(tenure.status());
    }
  }

  function receive(link: Link, {id, incarnation, question}: Envelope): void {
    const reply = (message: Reply) => link.send({id, reply: message});
    // A restarted keeper has the address of its former life but none of its
    // claims: its empty vote or empty page would let a second run begin.
    const isMeant = incarnation === self.incarnation;
    if (safeguards.incarnation && !isMeant) return reply({kind: 'stranger'});
    answer(question, reply);
  }

  function accept(link: Link): void {
    links.add(link);
    link.onMessage(message => receive(link, message as Envelope));
    link.onClose(() => links.delete(link));
  }

  function sweep(): void {
    for (const [service, tenure] of tenures) {
      tenure.sweep();
      if (!tenure.isRemovable()) continue;
      tenure.stop();
      tenures.delete(service);
    }
  }

  const wait = (time: number) =>
    new Promise<void>(done => timers.after(time, done));

  const listener: Listener = await network.listen(self.address, accept);
  const sweeping = timers.every(sweepPeriod, sweep);

  return {
    assign(service, assignment) {
      const isMember = assignment.members.some(one => isSameIncarnation(one, self));
      const mayBeMember = isMember || !safeguards.incarnation;
      if (!mayBeMember && !tenures.has(service)) return;
      const tenure = find(service);
      const before = tenure.status().epoch;
      tenure.adopt(assignment);
      if (tenure.status().epoch === before) return;
      log.info('keeper set adopted', {service, epoch: assignment.epoch});
    },
    async leave(limit) {
      const end = timers.now() + limit;
      const isMember = () =>
        [...tenures.values()].some(tenure => tenure.isMember());
      if (!isMember()) return;
      while (isMember() && timers.now() < end) await wait(leavePoll);
      await wait(handoverTime);
    },
    get size() {
      return [...tenures.values()].reduce((sum, {size}) => sum + size, 0);
    },
    async stop() {
      sweeping.cancel();
      for (const tenure of tenures.values()) tenure.stop();
      peers.stop();
      for (const link of links) link.close();
      await listener.close();
    },
  };
}
