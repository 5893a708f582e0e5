import type {BarrierAnswer, BarrierRequest, Peer} from './messages.js';
import {roleOf, send} from './core-state.js';
import type {CoreState} from './core-state.js';
import type {Replication} from './replication.js';

/** Read barriers: an index that no accepted change lies beyond. */
export interface ReadBarriers {
  /** Asks for one on behalf of this process. */
  request(id: number): void;
  onRequest(from: Peer, message: BarrierRequest): void;
  onAnswer(message: BarrierAnswer): void;
  /** Answers what a finished round has proved; called after each event. */
  advance(): void;
  /** Ends what waits, after leadership was lost. */
  abandon(): void;
}

interface Waiter {
  readonly id: number;
  /** Name of the asking member; absent for this process. */
  readonly origin?: string;
  readonly index: number;
}

/**
 * Creates the barriers. A round begun before a request proves nothing for it:
 * its answers may have left before another leader accepted a change. So a
 * request waits for the next round, which all that came meanwhile share.
 */
export function createReadBarriers(
  state: CoreState,
  replication: Replication,
): ReadBarriers {
  let waiting: Waiter[] = [];
  let running: Waiter[] = [];
  let round: number | undefined;

  function answer(waiter: Waiter, index: number | undefined): void {
    const {id, origin} = waiter;
    if (origin === undefined) state.actions.push({kind: 'barrier', id, index});
    else send(state, origin, {kind: 'barrier-answer', id, index});
  }

  function add(id: number, origin?: string): void {
    waiting.push({id, origin, index: state.commitIndex});
  }

  /** Before its first commit a leader does not know what was committed. */
  const isReady = () => state.commitIndex >= replication.termStartIndex;

  function begin(): void {
    if (waiting.length === 0 || !isReady()) return;
    const least = replication.termStartIndex;
    running = waiting.map(waiter => ({
      ...waiter,
      index: Math.max(waiter.index, least),
    }));
    waiting = [];
    round = replication.beginRound();
  }

  function finish(): boolean {
    if (round === undefined || !replication.isRoundConfirmed(round))
      return false;
    for (const waiter of running) answer(waiter, waiter.index);
    running = [];
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
      // A group of one has its majority at once.
      finish();
    },
    abandon() {
      for (const waiter of [...running, ...waiting]) answer(waiter, undefined);
      running = [];
      waiting = [];
      round = undefined;
    },
  };
}
