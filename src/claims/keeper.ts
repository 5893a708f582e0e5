/**
 * The keeper's side of claims: holds the claims of the services whose keeper
 * sets contain it.
 */
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {Link, Listener, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {createClaimTable} from './claim-table.js';
import type {ClaimLimits} from './claim-table.js';
import type {ClaimRecord, Envelope, Question, Reply} from './messages.js';
import {createKeeperClient} from './keeper-client.js';
import {
  allKeeperSafeguards,
  createServiceClaims,
  isSameIncarnation,
} from './service-claims.js';
import type {
  KeeperSafeguards,
  SealedClaims,
  ServiceClaims,
} from './service-claims.js';

/** Options of `createKeeper`. */
export interface KeeperOptions {
  /** This incarnation of the node; the keeper listens on its address. */
  readonly self: Keeper;
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  readonly limits: ClaimLimits;
  /** For tests only; all are on by default. */
  readonly safeguards?: Partial<KeeperSafeguards>;
}

/** Holds claims in the memory of its node's process. */
export interface ClaimKeeper {
  /** Adopts a service's keeper set, as a member or as a former one. */
  assign(service: string, assignment: KeeperAssignment): void;
  /**
   * Waits until other keepers have taken over, for at most `limit`
   * milliseconds. Call it before a planned stop, after the instance was
   * announced as draining. Otherwise two nodes that restart one after the other
   * would lose their claims.
   */
  leave(limit: number): Promise<void>;
  /** Number of claims of all services. */
  readonly size: number;
  stop(): Promise<void>;
}

/** Milliseconds between two removals of expired claims. */
const sweepPeriod = 1000;
/** Milliseconds between two checks whether the keeper is still a member. */
const leavePollPeriod = 50;
/**
 * Milliseconds that the next set needs to seal the set that this keeper left.
 */
const handoverTime = 500;
/** Claims per page; the node handles its requests between two pages. */
const recordsPerPage = 160;

/** Creates a keeper that listens on its address. */
export async function createKeeper(
  options: KeeperOptions,
): Promise<ClaimKeeper> {
  const {self, network, timers, limits} = options;
  const log = options.log.scope('keeper');
  const safeguards = {...allKeeperSafeguards, ...options.safeguards};
  const keeperClient = createKeeperClient(network, timers);
  const claimsByService = new Map<string, ServiceClaims>();
  const links = new Set<Link>();

  function findOrCreate(service: string): ServiceClaims {
    let claims = claimsByService.get(service);
    if (claims === undefined) {
      const createTable = () => createClaimTable(timers, limits);
      claims = createServiceClaims({
        service,
        self,
        keeperClient,
        timers,
        createTable,
        retention: limits.retention,
        safeguards,
      });
      claimsByService.set(service, claims);
    }
    return claims;
  }

  function sendPages(
    sealed: SealedClaims,
    reply: (reply: Reply) => void,
  ): void {
    const {active, quarantine} = sealed;
    const records = sealed.records[Symbol.iterator]();

    function sendNext(): void {
      const page: ClaimRecord[] = [];
      let result = records.next();
      while (!result.done) {
        page.push(result.value);
        if (page.length === recordsPerPage) break;
        result = records.next();
      }
      const last = result.done === true;
      reply({kind: 'sealed', active, quarantine, records: page, last});
      if (!last) timers.after(0, sendNext);
    }

    sendNext();
  }

  function answer(question: Question, reply: (reply: Reply) => void): void {
    const claims = findOrCreate(question.service);
    switch (question.kind) {
      case 'acquire':
        return reply(claims.vote(question, reply));
      case 'settle':
        return reply({kind: claims.settle(question) ? 'settled' : 'stale'});
      case 'seal':
        return sendPages(
          claims.seal(question.epoch, question.successor),
          reply,
        );
      case 'inquire':
        return reply(claims.standing());
    }
  }

  function receive(link: Link, {id, incarnation, question}: Envelope): void {
    const reply = (message: Reply) => link.send({id, reply: message});
    // A restarted keeper has the address of its former incarnation but none of
    // its claims. Its vote or its empty page would allow a second run.
    const isAddressed = incarnation === self.incarnation;
    if (safeguards.incarnation && !isAddressed)
      return reply({kind: 'stranger'});
    answer(question, reply);
  }

  function accept(link: Link): void {
    links.add(link);
    link.onMessage(message => receive(link, message as Envelope));
    link.onClose(() => links.delete(link));
  }

  function sweep(): void {
    for (const [service, claims] of claimsByService) {
      claims.sweep();
      if (!claims.isRemovable()) continue;
      claims.stop();
      claimsByService.delete(service);
    }
  }

  const wait = (time: number) =>
    new Promise<void>(resolve => timers.after(time, resolve));

  const listener: Listener = await network.listen(self.address, accept);
  const sweeps = timers.every(sweepPeriod, sweep);

  return {
    assign(service, assignment) {
      const isMember = assignment.members.some(member =>
        isSameIncarnation(member, self),
      );
      const mayBeMember = isMember || !safeguards.incarnation;
      if (!mayBeMember && !claimsByService.has(service)) return;
      const claims = findOrCreate(service);
      const previousEpoch = claims.standing().epoch;
      claims.adopt(assignment);
      if (claims.standing().epoch === previousEpoch) return;
      log.info('keeper set adopted', {service, epoch: assignment.epoch});
    },
    async leave(limit) {
      const end = timers.now() + limit;
      const isMember = () =>
        [...claimsByService.values()].some(claims => claims.isMember());
      if (!isMember()) return;
      while (isMember() && timers.now() < end) await wait(leavePollPeriod);
      await wait(handoverTime);
    },
    get size() {
      return [...claimsByService.values()].reduce(
        (sum, {size}) => sum + size,
        0,
      );
    },
    async stop() {
      sweeps.cancel();
      for (const claims of claimsByService.values()) claims.stop();
      keeperClient.stop();
      for (const link of links) link.close();
      await listener.close();
    },
  };
}
