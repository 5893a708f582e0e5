/** Seals the set before a keeper's own and gathers the claims that it held. */
import type {
  Keeper,
  KeeperAssignment,
  KeeperSet,
} from '../configuration/configuration.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {ClaimRecord, SealedPage} from './messages.js';
import type {KeeperResponse, KeeperClient} from './keeper-client.js';
import {majorityOf} from './vote-count.js';

/** What one sealed keeper was. */
export type SealedState = Pick<SealedPage, 'active' | 'quarantine'>;

/** What a succession is made of. */
export interface HandoverOptions {
  readonly service: string;
  readonly previous: KeeperSet;
  readonly successor: KeeperAssignment;
  /** This keeper's own state in the previous set; undefined for no member. */
  ownState(member: Keeper): SealedState | undefined;
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  /** Test only: whether one of the sealed must have been active. */
  readonly needsActive: boolean;
  /** Takes a page of claims. */
  merge(records: readonly ClaimRecord[]): void;
  /** A majority is sealed and its claims are here; called once. */
  done(quarantine: number): void;
}

interface Predecessor extends SealedState {
  readonly member: Keeper;
  readonly isAsked: boolean;
  readonly whole: boolean;
}

/** Milliseconds until a predecessor that did not answer is asked again. */
const sealRetry = 100;
/** Milliseconds until more predecessors are asked than are needed. */
const patience = 300;

/** Begins; cancelling stops it. */
export function startHandover(options: HandoverOptions): Subscription {
  const {service, previous, successor, keeperClient: peers, timers} = options;
  const subscriptions: Subscription[] = [];
  const needed = majorityOf(previous.members.length);
  let isDone = false;

  const handovers: Predecessor[] = orderByStay(previous, successor).map(member => {
    const own = options.ownState(member);
    const whole = own !== undefined;
    const state = own ?? {active: false, quarantine: 0};
    return {member, isAsked: whole, whole, ...state};
  });

  function update(index: number, change: Partial<Predecessor>): void {
    handovers[index] = {...handovers[index]!, ...change};
  }

  function cancel(): void {
    isDone = true;
    for (const subscription of subscriptions) subscription.cancel();
  }

  function check(): void {
    const whole = handovers.filter(handover => handover.whole);
    if (isDone || whole.length < needed) return;
    // A keeper that was never active in the epoch has none of the claims that
    // the epoch took over, so it can't stand for them alone.
    const isKnown = whole.some(({active}) => active);
    if (options.needsActive && !isKnown) return askRest();
    cancel();
    options.done(Math.max(...whole.map(({quarantine}) => quarantine)));
  }

  function hear(index: number, hearing: KeeperResponse): void {
    if (isDone || handovers[index]!.whole) return;
    if (hearing.kind === 'sealed') {
      const {active, quarantine, last} = hearing;
      options.merge(hearing.records);
      update(index, {active, quarantine, whole: last});
      if (last) check();
    }
    if (hearing.kind === 'unreachable' || hearing.kind === 'stranger') {
      subscriptions.push(timers.after(sealRetry, () => ask(index)));
      askRest();
    }
  }

  function ask(index: number): void {
    update(index, {isAsked: true});
    const question = {
      kind: 'seal',
      service,
      epoch: previous.epoch,
      successor,
    } as const;
    const {member} = handovers[index]!;
    subscriptions.push(
      peers.ask(member, question, hearing => hear(index, hearing)),
    );
  }

  function askRest(): void {
    handovers.forEach(({isAsked}, index) => {
      if (!isAsked) ask(index);
    });
  }

  /** Asks no more than are needed: each hands over all that it holds. */
  function askFirst(): void {
    const own = handovers.filter(({whole}) => whole).length;
    const open = [...handovers.keys()].filter(at => !handovers[at]!.isAsked);
    for (const index of open.slice(0, needed - own)) ask(index);
  }

  askFirst();
  subscriptions.push(timers.after(patience, askRest));
  check();
  return {cancel};
}

/** Those that stay first: they are the likeliest to be alive. */
function orderByStay(previous: KeeperSet, successor: KeeperSet): Keeper[] {
  const stays = (member: Keeper) =>
    successor.members.some(({address}) => address === member.address);
  const staying = previous.members.filter(stays);
  const leaving = previous.members.filter(member => !stays(member));
  return [...staying, ...leaving];
}
