/**
 * What a process that is short of processor time does about its load. Data waits
 * in its sockets until its event loop has time, and slots show nothing of it: a
 * node takes work and tells others of free slots while all of it ends late. The
 * load that this addresses: more calls than the processor of a VM can handle.
 */
import type {Priority} from '../../configuration/configuration.js';
import type {LoopDelay} from '../../time/loop-delay.js';
import {requestCodes} from '../messages/codes.js';
import type {Refusal} from '../messages/call.js';
import {createRefusal} from '../messages/refusal.js';

/**
 * Mean delay of the loop, in milliseconds, that counts as a full load. A call
 * waits for the loops of two nodes on its way there and back, so together that is
 * about 100 ms. Shorter delays are normal on small VMs and count as none.
 */
const fullLoadDelay = 25;

/** How often a request waits for the loop of its entry: in, on, back and out. */
const waitsPerRequest = 4;

/** Share of the objective that a request may wait for the loop. */
const maxWaitShare = 0.3;

/**
 * Seconds until a refused caller may retry: the mean delay follows a change of
 * the load within this time. Callers are spread over as much again.
 */
const retryAfter = 0.3;

/** The load of a process by its loop: 1 and more if it is short, 0 otherwise. */
export function loopLoad(loopDelay: LoopDelay): number {
  const load = loopDelay.mean() / fullLoadDelay;
  return load < 1 ? 0 : load;
}

/** A request as far as it matters here. */
export interface LoopWork {
  readonly priority: Priority;
  /** Milliseconds within which an answer counts as good. */
  readonly objective: number;
}

/**
 * Returns the refusal of a request of the lowest priority if its waits for the
 * loop would take a large part of its objective. Requests of higher priorities
 * are taken in any case and have the processor for themselves.
 */
export function refusalByLoop(
  {priority, objective}: LoopWork,
  loopDelay: LoopDelay,
  fraction: () => number,
): Refusal | undefined {
  if (priority !== 'background') return undefined;
  const wait = waitsPerRequest * loopDelay.mean();
  if (wait <= maxWaitShare * objective) return undefined;
  return createRefusal(
    requestCodes.deadlineUnreachable,
    'this node is short of processor time',
    retryAfter * (1 + fraction()),
  );
}
