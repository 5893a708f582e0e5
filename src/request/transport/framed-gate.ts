/**
 * The gate's end of the framed links from the entries of other nodes. Each link
 * carries the calls of one entry; a link that ends cancels those that it carried.
 */
import type {SocketLink} from '../../link/socket-link.js';
import type {Log} from '../../log/log.js';
import type {Timers} from '../../time/timers.js';
import type {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import {answerWindow} from './frames.js';
import type {CallFrame, EntryFrame, GateFrame} from './frames.js';
import type {CallHandler} from '../messages/hops.js';
import type {Call, Cancel} from '../messages/call.js';
import {refusal, refusalOf} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';
import type {EgressQueue} from './egress-queue.js';

/** Options of `createFramedGate`; times in milliseconds. */
export interface FramedGateOptions {
  readonly gate: CallHandler;
  /** The way out for answers; as they come unless given. */
  readonly egressQueue?: EgressQueue | undefined;
  readonly timers: Timers;
  readonly log: Log;
  readonly safeguards: Safeguards;
}

/** The framed links to one gate. */
export interface FramedGate {
  /** Bytes that wait to leave on all links. */
  readonly unsent: number;
  /** Serves one link until it ends. */
  accept(link: SocketLink): void;
  /**
   * Tells the entries to send no more calls, and ends each link once it carries
   * none: the free ones after `grace`, so that a call that is on its way is still
   * refused as not run, and all at `deadline`.
   */
  stop(grace: number, deadline: number): void;
}

/** One call under way at this gate. */
interface ActiveCall {
  cancel: Cancel;
  taken(bytes: number): void;
}

/** One link and its calls. */
interface EntryLink {
  readonly link: SocketLink;
  readonly calls: Map<number, ActiveCall>;
  /** Calls that came in this turn of the loop and begin in the next. */
  readonly arrived: Map<number, CallFrame>;
  lastReceivedAt: number;
}

/** Milliseconds without a word after which an entry's link is let go of. */
const maxSilence = 90_000;
/** Milliseconds between two looks for such links. */
const sweepPeriod = 30_000;

/** Milliseconds that an entry has to close its half of a link that was closed. */
const closeTime = 250;

/** Creates the gate's end; links are handed to it as they open. */
export function createFramedGate(options: FramedGateOptions): FramedGate {
  const {gate, timers, safeguards} = options;
  const entryLinks = new Set<EntryLink>();
  const sweeping = timers.every(sweepPeriod, sweep);
  let isGracePeriodOver = false;

  /** An entry without power never closes; its link would be kept for good. */
  function sweep(): void {
    const oldest = timers.now() - maxSilence;
    for (const one of entryLinks) {
      if (one.lastReceivedAt < oldest && isFree(one)) one.link.close();
    }
  }

  function accept(link: SocketLink): void {
    const own: EntryLink = {
      link,
      calls: new Map(),
      arrived: new Map(),
      lastReceivedAt: timers.now(),
    };
    entryLinks.add(own);
    link.onMessage(message => {
      own.lastReceivedAt = timers.now();
      take(own, message as EntryFrame);
    });
    link.onClose(() => {
      entryLinks.delete(own);
      own.arrived.clear();
      for (const {cancel} of [...own.calls.values()]) cancel();
    });
  }

  function take(own: EntryLink, frame: EntryFrame): void {
    switch (frame.type) {
      case 'call':
        return arrive(own, frame);
      case 'cancel':
        own.arrived.delete(frame.call);
        return own.calls.get(frame.call)?.cancel();
      case 'taken':
        return own.calls.get(frame.call)?.taken(frame.bytes);
      case 'ping':
        return send(own, {type: 'pong'});
    }
  }

  /**
   * Begins in the next turn: after this process was held up, a call and its
   * `cancel` are read together, and would otherwise be run for nobody.
   */
  function arrive(own: EntryLink, frame: CallFrame): void {
    if (own.arrived.size === 0) setImmediate(() => beginArrived(own));
    own.arrived.set(frame.call, frame);
  }

  function beginArrived(own: EntryLink): void {
    const frames = [...own.arrived.values()];
    own.arrived.clear();
    for (const frame of frames) begin(own, frame);
  }

  function begin(own: EntryLink, frame: CallFrame): void {
    const framed = createFramedAnswer(frame.call, {
      send: message => send(own, message),
      load: () => gate.loadOf(frame.policy),
      ended: () => ended(own, frame.call),
    });
    const queued = options.egressQueue?.to(framed);
    const answer = queued ?? framed;
    const work: ActiveCall = {cancel: () => {}, taken: framed.taken};
    own.calls.set(frame.call, work);
    if (safeguards.instanceCheck && !isForGate(frame)) {
      return answer.refuse(refusal(requestCodes.wrongInstance));
    }
    const cancel = handle(frame, answer);
    work.cancel = () => {
      own.calls.delete(frame.call);
      queued?.drop();
      cancel();
    };
  }

  /** A call whose handling fails ends; the others on the link go on. */
  function handle(frame: CallFrame, answer: Answer): Cancel {
    try {
      return gate.handle(toCall(frame, timers.now()), answer);
    } catch (error) {
      const {message} = error as Error;
      options.log.error('call failed', {request: frame.request, message});
      answer.refuse(refusalOf(error));
      return () => {};
    }
  }

  function ended(own: EntryLink, call: number): void {
    own.calls.delete(call);
    if (isGracePeriodOver) closeFree();
  }

  /**
   * Addresses are used again: after a move, one may reach the gate of another
   * upstream, which would run the work of a service that it does not have.
   */
  function isForGate({instance, service}: CallFrame): boolean {
    return instance === gate.instance && service === gate.service;
  }

  /** An entry that has gone silent closes no link; it must not hold up the stop. */
  function closeFree(): void {
    for (const one of entryLinks) {
      if (!isFree(one)) continue;
      one.link.close();
      timers.after(closeTime, () => one.link.destroy());
    }
  }

  return {
    get unsent() {
      let bytes = 0;
      for (const {link} of entryLinks) bytes += link.pending;
      return bytes;
    },
    accept,
    stop: (grace, deadline) => {
      sweeping.cancel();
      for (const one of entryLinks) send(one, {type: 'leaving'});
      const closing = timers.after(Math.min(grace, deadline), () => {
        isGracePeriodOver = true;
        closeFree();
      });
      timers.after(deadline, () => {
        closing.cancel();
        for (const {link} of entryLinks) link.destroy();
      });
    },
  };
}

function send({link}: EntryLink, frame: GateFrame): void {
  link.send(frame);
}

function isFree({calls, arrived}: EntryLink): boolean {
  return calls.size === 0 && arrived.size === 0;
}

function toCall(frame: CallFrame, now: number): Call {
  const {body, left, goodFor} = frame;
  return {
    id: frame.request,
    service: frame.service,
    policy: frame.policy,
    caller: frame.caller,
    method: frame.method,
    path: frame.path,
    headers: frame.headers,
    body: body === undefined ? {kind: 'none'} : {kind: 'whole', bytes: body},
    priority: frame.priority,
    repeatability: frame.repeatability,
    key: frame.key,
    deadline: now + left,
    goodUntil: now + goodFor,
  };
}

/** What an answer on a link works with. */
interface FramedAnswerOptions {
  readonly send: (frame: GateFrame) => void;
  readonly load: () => number;
  /** Called once, after its last frame. */
  readonly ended: () => void;
}

/** An answer on a link. */
interface FramedAnswer extends Answer {
  /** The caller took so many bytes more. */
  taken(bytes: number): void;
}

function createFramedAnswer(
  call: number,
  {send, load, ended}: FramedAnswerOptions,
): FramedAnswer {
  /** Bytes that the caller has not taken yet. */
  let ahead = 0;
  let resume: (() => void) | undefined;

  function finish(frame: GateFrame): void {
    send(frame);
    ended();
  }

  return {
    // A gathered body was handed over with the call; nothing waits for this.
    admit: () => {},
    start: ({status, reason, headers}) =>
      send({type: 'head', call, status, reason, headers, load: load()}),
    write: chunk => {
      ahead += chunk.length;
      send({type: 'data', call, chunk});
      return ahead < answerWindow;
    },
    onDrain: goOn => {
      resume = goOn;
    },
    end: () => finish({type: 'end', call}),
    refuse: ({code, retryAfter}) =>
      finish({
        type: 'refused',
        call,
        code: code.number,
        retryAfter,
        load: load(),
      }),
    cut: () => finish({type: 'cut', call}),
    taken: bytes => {
      ahead -= bytes;
      if (ahead >= answerWindow) return;
      const goOn = resume;
      resume = undefined;
      goOn?.();
    },
  };
}
