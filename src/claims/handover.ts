/** Seals the previous keeper set and copies the claims that it held. */
import type {
  Keeper,
  KeeperAssignment,
  KeeperSet,
} from '../configuration/configuration.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {ClaimRecord, SealedPage} from './messages.js';
import type {KeeperResponse, KeeperClient} from './keeper-client.js';
import {majorityOf} from './vote-count.js';

/** State of one keeper at the time of its seal. */
export type SealedState = Pick<SealedPage, 'active' | 'quarantine'>;

/** Options of `startHandover`. */
export interface HandoverOptions {
  readonly service: string;
  readonly previous: KeeperSet;
  readonly successor: KeeperAssignment;
  /**
   * State in the previous set if `member` is this keeper; otherwise undefined.
   */
  ownState(member: Keeper): SealedState | undefined;
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  /** For tests: whether one of the sealed keepers must have been active. */
  readonly needsActive: boolean;
  /** Adds a page of claims to the table. */
  merge(records: readonly ClaimRecord[]): void;
  /** Called once, when a majority is sealed and its claims are copied. */
  done(quarantine: number): void;
}

interface Predecessor extends SealedState {
  readonly member: Keeper;
  readonly isAsked: boolean;
  readonly whole: boolean;
}

/** Milliseconds until an unreachable predecessor is asked again. */
const sealRetryDelay = 100;
/** Milliseconds until the predecessors beyond the majority are asked too. */
const majorityTimeout = 300;

/** Starts a handover; cancelling the subscription stops it. */
export function startHandover(options: HandoverOptions): Subscription {
  const {service, previous, successor, keeperClient, timers} = options;
  const subscriptions: Subscription[] = [];
  const needed = majorityOf(previous.members.length);
  let isDone = false;

  const predecessors: Predecessor[] = orderStayingFirst(
    previous,
    successor,
  ).map(member => {
    const own = options.ownState(member);
    const whole = own !== undefined;
    const state = own ?? {active: false, quarantine: 0};
    return {member, isAsked: whole, whole, ...state};
  });

  function update(index: number, change: Partial<Predecessor>): void {
    predecessors[index] = {...predecessors[index]!, ...change};
  }

  function cancel(): void {
    isDone = true;
    for (const subscription of subscriptions) subscription.cancel();
  }

  function check(): void {
    const sealed = predecessors.filter(predecessor => predecessor.whole);
    if (isDone || sealed.length < needed) return;
    // A keeper that was never active in the epoch has none of the claims that
    // the epoch took over, so keepers of that kind alone are not enough.
    const hasActive = sealed.some(({active}) => active);
    if (options.needsActive && !hasActive) return askRemaining();
    cancel();
    options.done(Math.max(...sealed.map(({quarantine}) => quarantine)));
  }

  function handleResponse(index: number, response: KeeperResponse): void {
    if (isDone || predecessors[index]!.whole) return;
    if (response.kind === 'sealed') {
      const {active, quarantine, last} = response;
      options.merge(response.records);
      update(index, {active, quarantine, whole: last});
      if (last) check();
    }
    if (response.kind === 'unreachable' || response.kind === 'stranger') {
      subscriptions.push(timers.after(sealRetryDelay, () => ask(index)));
      askRemaining();
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
    const {member} = predecessors[index]!;
    subscriptions.push(
      keeperClient.ask(member, question, response =>
        handleResponse(index, response),
      ),
    );
  }

  function askRemaining(): void {
    predecessors.forEach(({isAsked}, index) => {
      if (!isAsked) ask(index);
    });
  }

  /** Asks only as many as needed, since each sends all claims that it holds. */
  function askMajority(): void {
    const ownCount = predecessors.filter(({whole}) => whole).length;
    const unasked = [...predecessors.keys()].filter(
      index => !predecessors[index]!.isAsked,
    );
    for (const index of unasked.slice(0, needed - ownCount)) ask(index);
  }

  askMajority();
  subscriptions.push(timers.after(majorityTimeout, askRemaining));
  check();
  return {cancel};
}

/** Orders members that stay before the others: they are most likely alive. */
function orderStayingFirst(
  previous: KeeperSet,
  successor: KeeperSet,
): Keeper[] {
  const stays = (member: Keeper) =>
    successor.members.some(({address}) => address === member.address);
  const staying = previous.members.filter(stays);
  const leaving = previous.members.filter(member => !stays(member));
  return [...staying, ...leaving];
}
