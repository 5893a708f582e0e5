/** One piece of work at a gate, from its offer to the end of its answer. */
import type {Subscription, Timers} from '../time/timers.js';
import type {Admission, Ticket} from './admission.js';
import type {Answer} from './answer.js';
import {requestCodes} from './codes.js';
import type {Connections} from './connections.js';
import {Failure} from '../result/failure.js';
import {delayUntil} from './deadline.js';
import {endToEnd, findHeader, headerNames} from './headers.js';
import type {Call, Cancel, Refusal} from './messages.js';
import {refusal} from './refusal.js';
import type {Safeguards} from './safeguards.js';
import {send} from './sending.js';
import type {Receiver, Sending} from './sending.js';

/** Options of `createRun`. */
export interface RunOptions {
  readonly call: Call;
  readonly answer: Answer;
  readonly admission: Admission;
  readonly connections: Connections;
  readonly timers: Timers;
  /** Why new work is refused now; undefined when it is taken. */
  readonly closedReason: () => Refusal | undefined;
  readonly safeguards: Safeguards;
  /** Called once when nothing of it is left at the gate. */
  readonly ended: () => void;
  /** Hears of each answer's head, and of each failure before the start. */
  readonly onUpstream?: (failure: Error | undefined) => void;
}

/** One piece of work. */
export interface Run {
  /** Asks for a slot; the rest follows by itself. */
  offer(): void;
  /** Its caller has left. */
  readonly cancel: Cancel;
  /** The stop deadline has come. */
  readonly cut: Cancel;
}

/** Longest wait, in milliseconds, for an upstream to end cancelled work. */
const closeLimit = 250;

/** Creates a piece of work; `offer` sets it going. */
export function createRun(options: RunOptions): Run {
  const {call, answer, admission, timers, safeguards} = options;
  let sending: Sending | undefined;
  let startedAt: number | undefined;
  let begun = false;
  let headSent = false;
  let answered = false;
  let limit: Subscription | undefined;
  let closing: Subscription | undefined;
  let ended = false;

  const ticket: Ticket = {
    priority: call.priority,
    deadline: call.deadline,
    start,
    refuse: reason => {
      answerRefusal(reason);
      end();
    },
  };

  const receiver: Receiver = {
    began: () => {
      begun = true;
      answer.admit();
    },
    interim: () => {},
    head: (status, reason, raw) => {
      options.onUpstream?.(undefined);
      if (answered) return;
      const {method} = call;
      if (safeguards.framing && !isFramed(method, status, raw)) {
        return abort(refusal(requestCodes.answerUnframed));
      }
      headSent = true;
      answer.start({
        status,
        reason,
        headers: endToEnd(raw, safeguards.internalHeaders),
      });
    },
    data: chunk => {
      if (answered) return true;
      if (answer.write(chunk)) return true;
      answer.onDrain(() => sending?.resume());
      return false;
    },
    end: () => {
      if (!answered) {
        answered = true;
        answer.end();
      }
      finish(timers.now() - startedAt!);
    },
    failed: (error, began) => {
      if (!began) options.onUpstream?.(error);
      breakOff(reasonOf(error, began && safeguards.doubt));
      finish(undefined);
    },
  };

  function start(): void {
    const closed = safeguards.drainAtStart ? options.closedReason() : undefined;
    if (closed !== undefined) {
      answerRefusal(closed);
      return finish(undefined);
    }
    startedAt = timers.now();
    const left = Math.max(1, Math.floor(call.deadline - startedAt));
    const headers = [...call.headers];
    headers.push(headerNames.request, call.id);
    headers.push(headerNames.timeout, String(left));
    sending = send(
      options.connections,
      {method: call.method, path: call.path, headers, body: call.body},
      receiver,
    );
    if (sending !== undefined) return;
    answerRefusal(refusal(requestCodes.full));
    finish(undefined);
  }

  /** Ends the answer as a refusal, or as a visible error once it has begun. */
  function breakOff(reason: Refusal): void {
    if (answered) return;
    if (!headSent) return answerRefusal(reason);
    answered = true;
    answer.cut();
  }

  function answerRefusal(reason: Refusal): void {
    if (answered) return;
    answered = true;
    answer.refuse(reason);
  }

  function finish(duration: number | undefined): void {
    admission.done(duration);
    end();
  }

  function end(): void {
    ended = true;
    limit?.cancel();
    closing?.cancel();
    options.ended();
  }

  /** Gives up: the final answer goes out at once, the connection is broken off. */
  function abort(reason: Refusal): void {
    if (admission.withdraw(ticket)) {
      answerRefusal(notBegun(reason));
      return end();
    }
    // Nothing is written after this: `send` drops a request that was cancelled
    // before its start, so `not-run` stays true.
    breakOff(begun ? reason : notBegun(reason));
    breakConnection(new Failure(reason.code, reason.message));
  }

  /**
   * Breaks the work off and keeps its slot until the upstream has closed: given
   * to the next at once, that would run beside the one that is being ended.
   */
  function breakConnection(reason: Failure): void {
    if (sending === undefined || ended) return;
    if (!safeguards.heldSlots) return sending.cancel(reason);
    closing ??= timers.after(closeLimit, () => sending?.cancel(reason));
    sending.close(reason);
  }

  function expire(): void {
    abort(refusal(requestCodes.deadlinePassed));
  }

  return {
    offer: () => {
      const left = delayUntil(call.deadline, timers.now());
      if (left > 0) limit = timers.after(left, expire);
      admission.offer(ticket);
    },
    cancel: () => {
      if (!safeguards.cancellation) return;
      answered = true;
      abort(refusal(requestCodes.callerLeft));
    },
    cut: () => abort(refusal(requestCodes.upstreamLost)),
  };
}

/** Work that did not begin was not run, whatever ended it. */
function notBegun(reason: Refusal): Refusal {
  if (reason.code === requestCodes.deadlinePassed) {
    return refusal(requestCodes.deadlineUnreachable);
  }
  return refusal(requestCodes.stopping);
}

function reasonOf(error: Error, began: boolean): Refusal {
  if (!began) return refusal(requestCodes.upstreamUnreachable, error.message);
  if (error instanceof Failure && error.code.effect === 'unknown') {
    return refusal(error.code, error.message);
  }
  return refusal(requestCodes.upstreamLost, error.message);
}

/**
 * Whether the end of an answer can be told from a cut. An answer that ends
 * with its connection looks whole when its upstream is killed half-way.
 */
function isFramed(method: string, status: number, raw: Buffer[]): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  if (findHeader(raw, 'content-length') !== undefined) return true;
  return findHeader(raw, 'transfer-encoding') !== undefined;
}
