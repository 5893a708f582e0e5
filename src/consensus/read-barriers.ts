import type {BarrierAnswer, BarrierRequest, Peer} from './messages.js';
import {roleOf, send} from './core-state.js';
import type {CoreState} from './core-state.js';
import type {Replication} from './replication.js';

/**
 * Read barriers: each yields an index that covers every change accepted before
 * it.
 */
export interface ReadBarriers {
  /** Requests a barrier for this process. */
  request(id: number): void;
  onRequest(from: Peer, message: BarrierRequest): void;
  onAnswer(message: BarrierAnswer): void;
  /** Answers the requests of a confirmed round; called after each event. */
  advance(): void;
  /** Fails all waiting requests after leadership was lost. */
  abandon(): void;
}

interface Waiter {
  readonly id: number;
  /** Name of the member that sent the request; absent for this process. */
  readonly sender?: string;
  readonly index: number;
}

/**
 * Creates the read barriers. A round that began before a request proves nothing
 * for it, because its answers may have been sent before another leader accepted
 * a change. A request therefore waits for the next round, which it shares with
 * all requests that arrived in the meantime.
 */
export function createReadBarriers(
  state: CoreState,
  replication: Replication,
): ReadBarriers {
  let waiting: Waiter[] = [];
  let inRound: Waiter[] = [];
  let round: number | undefined;

  function answer(waiter: Waiter, index: number | undefined): void {
    const {id, sender} = waiter;
    if (sender === undefined) state.actions.push({kind: 'barrier', id, index});
    else send(state, sender, {kind: 'barrier-answer', id, index});
  }

  function add(id: number, sender?: string): void {
    waiting.push({id, sender, index: state.commitIndex});
  }

  /**
   * Before its first commit a leader does not know which entries are committed.
   */
  const isReady = () => state.commitIndex >= replication.termStartIndex;

  function begin(): void {
    if (waiting.length === 0 || !isReady()) return;
    const minIndex = replication.termStartIndex;
    inRound = waiting.map(waiter => ({
      ...waiter,
      index: Math.max(waiter.index, minIndex),
    }));
    waiting = [];
    round = replication.beginRound();
  }

  function finish(): boolean {
    if (round === undefined || !replication.isRoundDone(round)) return false;
    for (const waiter of inRound) answer(waiter, waiter.index);
    inRound = [];
    round = undefined;
    return true;
  }

  return {
    request(id) {
      if (roleOf(state) === 'leader') {
        add(id);
        return;
      }
      if (state.leader === undefined) {
        state.actions.push({kind: 'barrier', id, index: undefined});
        return;
      }
      send(state, state.leader, {kind: 'barrier-request', id});
    },
    onRequest(from, message) {
      if (roleOf(state) === 'leader') add(message.id, from.name);
      else send(state, from.name, {kind: 'barrier-answer', id: message.id});
    },
    onAnswer({id, index}) {
      state.actions.push({kind: 'barrier', id, index: index ?? undefined});
    },
    advance() {
      if (roleOf(state) !== 'leader') return;
      finish();
      if (round !== undefined) return;
      begin();
      // In a group of one member the round is confirmed at once.
      finish();
    },
    abandon() {
      for (const waiter of [...inRound, ...waiting]) answer(waiter, undefined);
      inRound = [];
      waiting = [];
      round = undefined;
    },
  };
}
