/**
 * Which work an upstream gets next. Work beyond the slots waits in a short
 * queue, by priority; what cannot finish within its deadline is refused as
 * soon as that shows, because running it would take a slot from work that can.
 */
import type {Priority} from '../configuration/configuration.js';
import type {Clock} from '../time/clock.js';
import {requestCodes} from './codes.js';
import {createDurations} from './durations.js';
import type {Refusal} from './messages.js';
import {refusal} from './refusal.js';

/** One piece of work that asks for a slot. */
export interface Ticket {
  readonly priority: Priority;
  /** When its time is up, by the clock given. */
  readonly deadline: number;
  /** Called once when it gets a slot; `done` gives the slot back. */
  start(): void;
  /** Called once, at once, when it will not get one. */
  refuse(refusal: Refusal): void;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
  /** Work that may run at once. */
  readonly slots: number;
  /** Work that may wait. */
  readonly queueLength: number;
  /** Share of starts that a waiting lower priority gets, 0 to 1; 0.1 unless given. */
  readonly floor?: number;
  /** Slots that background work leaves free; 0 unless given. */
  readonly reserve?: number;
  /** Order within a priority; `fifo` unless given. */
  readonly order?: Order;
  readonly clock: Clock;
  /** Test only: parts that can be taken out to show what they prevent. */
  readonly safeguards?: {readonly deadlineTest?: boolean};
}

/** Which of two equals goes first: the one that came first, or last. */
export type Order = 'fifo' | 'lifo';

/** The slots of one upstream and the work that waits for them. */
export interface Admission {
  readonly running: number;
  readonly waiting: number;
  /** Running and waiting work over the slots. */
  readonly load: number;
  /** Starts, queues or refuses a ticket. */
  offer(ticket: Ticket): void;
  /** Takes a ticket out of the queue; false when it was not waiting. */
  withdraw(ticket: Ticket): boolean;
  /** Gives a slot back after work that took `duration` milliseconds. */
  done(duration: number | undefined): void;
  /** Refuses all waiting work. */
  refuseWaiting(reason: Refusal): void;
}

const ranking: readonly Priority[] = ['critical', 'normal', 'background'];
const defaultFloor = 0.1;

/** Creates the admission of one upstream. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {slots, queueLength, clock} = options;
  const floor = options.floor ?? defaultFloor;
  const reserve = Math.min(options.reserve ?? 0, slots - 1);
  const testsDeadline = options.safeguards?.deadlineTest ?? true;
  const durations = createDurations();
  const queues: Record<Priority, Ticket[]> = {
    critical: [],
    normal: [],
    background: [],
  };
  const credits: Record<Priority, number> = {
    critical: 0,
    normal: 0,
    background: 0,
  };
  let running = 0;
  let waiting = 0;

  function hasSlot(priority: Priority): boolean {
    const limit = priority === 'background' ? slots - reserve : slots;
    return running < limit;
  }

  /** Milliseconds until work with `ahead` others before it gets a slot. */
  function expectedWait(ahead: number): number {
    return ((ahead + 1) * durations.mean()) / slots;
  }

  /**
   * While other work waits, a slot is not spent on work that usually takes
   * longer than this has left; with no other, on what cannot possibly fit.
   */
  function isHopeless(ticket: Ticket, wait: number): boolean {
    const left = ticket.deadline - clock.now();
    if (left <= 0) return true;
    const own = waiting > 0 ? durations.mean() : durations.shortest();
    return testsDeadline && wait + own > left;
  }

  function start(ticket: Ticket): void {
    running++;
    ticket.start();
  }

  function refuseHopeless(ticket: Ticket): void {
    // While work runs, its durations will correct the estimates.
    if (running === 0) durations.doubt();
    ticket.refuse(
      refusal(
        requestCodes.deadlineUnreachable,
        undefined,
        secondsOf(expectedWait(waiting)),
      ),
    );
  }

  function aheadOf(priority: Priority): number {
    let ahead = 0;
    for (const other of ranking) {
      ahead += queues[other].length;
      if (other === priority) return ahead;
    }
    return ahead;
  }

  function enqueue(ticket: Ticket): void {
    const queue = queues[ticket.priority];
    if (options.order === 'lifo') queue.unshift(ticket);
    else queue.push(ticket);
    waiting++;
  }

  /** Makes room for `priority` by refusing the last of a lower one. */
  function displace(priority: Priority): boolean {
    for (const other of [...ranking].reverse()) {
      if (other === priority) return false;
      const victim = queues[other].pop();
      if (victim === undefined) continue;
      waiting--;
      victim.refuse(full());
      return true;
    }
    return false;
  }

  function full(): Refusal {
    const wait = secondsOf(expectedWait(waiting));
    return refusal(requestCodes.full, undefined, wait);
  }

  /**
   * Refuses waiting work that can no longer finish in time. Without it such
   * work would wait until its deadline and its caller would hear too late.
   */
  function sweep(): void {
    let ahead = 0;
    for (const priority of ranking) {
      const kept: Ticket[] = [];
      const lost: Ticket[] = [];
      for (const ticket of queues[priority]) {
        if (isHopeless(ticket, expectedWait(ahead))) {
          lost.push(ticket);
        } else {
          kept.push(ticket);
          ahead++;
        }
      }
      if (lost.length === 0) continue;
      queues[priority] = kept;
      waiting -= lost.length;
      lost.forEach(refuseHopeless);
    }
  }

  /** The priority that goes next: the highest, but for the floor of the others. */
  function choose(): Priority | undefined {
    const ready = ranking.filter(
      priority => queues[priority].length > 0 && hasSlot(priority),
    );
    const first = ready[0];
    for (const priority of ready.slice(1)) {
      credits[priority] += floor;
      if (credits[priority] < 1) continue;
      credits[priority] -= 1;
      return priority;
    }
    return first;
  }

  function fill(): void {
    while (waiting > 0) {
      const priority = choose();
      if (priority === undefined) return;
      const ticket = queues[priority].shift()!;
      waiting--;
      if (isHopeless(ticket, 0)) refuseHopeless(ticket);
      else start(ticket);
    }
  }

  return {
    get running() {
      return running;
    },
    get waiting() {
      return waiting;
    },
    get load() {
      return (running + waiting) / slots;
    },
    offer: ticket => {
      const {priority} = ticket;
      const free = hasSlot(priority) && aheadOf(priority) === 0;
      const wait = free ? 0 : expectedWait(aheadOf(priority));
      if (isHopeless(ticket, wait)) return refuseHopeless(ticket);
      if (free) return start(ticket);
      const room = waiting < queueLength || displace(priority);
      if (!room) return ticket.refuse(full());
      enqueue(ticket);
      sweep();
    },
    withdraw: ticket => {
      const queue = queues[ticket.priority];
      const index = queue.indexOf(ticket);
      if (index < 0) return false;
      queue.splice(index, 1);
      waiting--;
      return true;
    },
    done: duration => {
      running--;
      if (duration !== undefined) durations.add(duration);
      fill();
      sweep();
    },
    refuseWaiting: reason => {
      for (const priority of ranking) {
        const refused = queues[priority];
        queues[priority] = [];
        waiting -= refused.length;
        refused.forEach(ticket => ticket.refuse(reason));
      }
    },
  };
}

function secondsOf(milliseconds: number): number {
  return Math.max(1, Math.ceil(milliseconds / 1000));
}
