/**
 * The gate's end of the framed links from the entries of other nodes. Each link
 * carries the calls of one entry. When a link ends, its calls are cancelled.
 */
import type {SocketLink} from '../../link/socket-link.js';
import type {Log} from '../../log/log.js';
import {noLoopDelay} from '../../time/loop-delay.js';
import type {LoopDelay} from '../../time/loop-delay.js';
import type {Timers} from '../../time/timers.js';
import {nextTurn} from '../../time/turn.js';
import type {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import {answerWindow} from './frames.js';
import type {CallFrame, EntryFrame, GateFrame} from './frames.js';
import type {CallHandler} from '../messages/hops.js';
import type {Call, Cancel} from '../messages/call.js';
import type {FinishEstimate} from '../messages/finish-estimate.js';
import type {ReportedState} from '../messages/reported-state.js';
import {rankOf} from '../messages/rank.js';
import {createRefusal, toRefusal} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';
import type {EgressQueue} from './egress-queue.js';

/** Options of `createFramedGate`; times in milliseconds. */
export interface FramedGateOptions {
  readonly gate: CallHandler;
  /** Whether entries are told when calls finish; not by default. */
  readonly tellsEstimates?: boolean;
  /** Queue that answers are sent through; sent directly by default. */
  readonly egressQueue?: EgressQueue | undefined;
  /** Measures the delay of the event loop; no delay by default. */
  readonly loopDelay?: LoopDelay | undefined;
  readonly timers: Timers;
  readonly log: Log;
  readonly safeguards: Safeguards;
}

/** The framed links to one gate. */
export interface FramedGate {
  /** Bytes that wait to be sent on all links. */
  readonly unsent: number;
  /** Serves a link until it ends. */
  accept(link: SocketLink): void;
  /**
   * Asks the entries to send no more calls; each closes its link when its last
   * call has ended. Calls that are still in transit are refused as not run. The
   * links of entries that do not answer are closed when they have no calls, and
   * all of them after `deadline`.
   */
  stop(gracePeriod: number, deadline: number): void;
}

/** A call in progress at this gate. */
interface ActiveCall {
  cancel: Cancel;
  taken(bytes: number): void;
}

/** A link from an entry and its calls. */
interface EntryLink {
  readonly link: SocketLink;
  readonly calls: Map<number, ActiveCall>;
  /**
   * Calls that were received in the last turns of the loop and have not begun.
   */
  readonly arrived: Map<number, CallFrame>;
  lastReceivedAt: number;
}

/**
 * Milliseconds without a message after which an entry's idle link is closed.
 */
const maxSilence = 90_000;
/** Milliseconds between two checks for such links. */
const sweepPeriod = 30_000;

/**
 * Milliseconds within which an entry has to close its half of a closed link.
 */
const closeTimeout = 250;

/**
 * Milliseconds after the grace period within which an entry has to close its
 * link. It learns of the stop behind all that waits on the way to it, and the
 * calls that it has sent before arrive as late.
 */
const leavingTimeout = 500;

/** Creates the gate's end; new links are passed to `accept`. */
export function createFramedGate(options: FramedGateOptions): FramedGate {
  const {gate, timers, safeguards} = options;
  const loopDelay = options.loopDelay ?? noLoopDelay;
  const entryLinks = new Set<EntryLink>();
  const sweepTimer = timers.every(sweepPeriod, sweep);
  let isStopping = false;
  let closesIdle = false;

  /** An entry that loses power never closes its link, which would leak here. */
  function sweep(): void {
    const minReceivedAt = timers.now() - maxSilence;
    for (const entryLink of entryLinks) {
      if (entryLink.lastReceivedAt < minReceivedAt && isIdle(entryLink))
        entryLink.link.close();
    }
  }

  function accept(link: SocketLink): void {
    const entryLink: EntryLink = {
      link,
      calls: new Map(),
      arrived: new Map(),
      lastReceivedAt: timers.now(),
    };
    entryLinks.add(entryLink);
    if (isStopping) send(entryLink, {type: 'leaving'});
    link.onMessage(message => {
      entryLink.lastReceivedAt = timers.now();
      handleFrame(entryLink, message as EntryFrame);
    });
    link.onClose(() => {
      entryLinks.delete(entryLink);
      entryLink.arrived.clear();
      for (const {cancel} of [...entryLink.calls.values()]) cancel();
    });
  }

  function handleFrame(entryLink: EntryLink, frame: EntryFrame): void {
    switch (frame.type) {
      case 'call':
        return enqueueCall(entryLink, frame);
      case 'cancel':
        entryLink.arrived.delete(frame.call);
        return entryLink.calls.get(frame.call)?.cancel();
      case 'taken':
        return entryLink.calls.get(frame.call)?.taken(frame.bytes);
      case 'ping':
        return send(entryLink, {
          type: 'pong',
          loopDelay: Math.round(loopDelay.current()),
          unsent: entryLink.link.pending,
        });
    }
  }

  /**
   * Begins the call two turns of the loop later. After the loop was blocked, a
   * call and its `cancel` may be read in the same turn, and the end of its link
   * in the next; the call would otherwise run although its caller has left.
   */
  function enqueueCall(entryLink: EntryLink, frame: CallFrame): void {
    if (entryLink.arrived.size === 0) void beginArrived(entryLink);
    entryLink.arrived.set(frame.call, frame);
  }

  async function beginArrived(entryLink: EntryLink): Promise<void> {
    await nextTurn();
    await nextTurn();
    const frames = [...entryLink.arrived.values()];
    entryLink.arrived.clear();
    for (const frame of frames) beginCall(entryLink, frame);
  }

  function beginCall(entryLink: EntryLink, frame: CallFrame): void {
    const framedAnswer = createFramedAnswer(frame.call, {
      send: message => send(entryLink, message),
      state: () => {
        const load = gate.loadFor(frame.policy);
        const {reported} = gate;
        const estimate =
          options.tellsEstimates === true
            ? gate.estimateFor(frame.policy, rankOf(frame))
            : undefined;
        return {
          load,
          ...(estimate !== undefined && {estimate}),
          ...(reported !== undefined && {reported}),
        };
      },
      ended: () => callEnded(entryLink, frame.call),
    });
    const queuedAnswer = options.egressQueue?.to(framedAnswer);
    const answer = queuedAnswer ?? framedAnswer;
    const activeCall: ActiveCall = {
      cancel: () => {},
      taken: framedAnswer.taken,
    };
    entryLink.calls.set(frame.call, activeCall);
    if (safeguards.instanceCheck && !isForGate(frame)) {
      return answer.refuse(createRefusal(requestCodes.wrongInstance));
    }
    const cancel = handle(frame, answer);
    activeCall.cancel = () => {
      entryLink.calls.delete(frame.call);
      queuedAnswer?.drop();
      cancel();
    };
  }

  /**
   * Ends a call whose handling throws; other calls on the link are unaffected.
   */
  function handle(frame: CallFrame, answer: Answer): Cancel {
    try {
      return gate.handle(toCall(frame, timers.now()), answer);
    } catch (error) {
      const {message} = error as Error;
      options.log.error('call failed', {request: frame.request, message});
      answer.refuse(toRefusal(error));
      return () => {};
    }
  }

  function callEnded(entryLink: EntryLink, call: number): void {
    entryLink.calls.delete(call);
    if (closesIdle) closeIdle();
  }

  /**
   * Addresses are reused. After an instance has moved, its old address may
   * belong to the gate of another upstream, which must not run requests of this
   * service.
   */
  function isForGate({instance, service}: CallFrame): boolean {
    return instance === gate.instance && service === gate.service;
  }

  function closeIdle(): void {
    for (const entryLink of entryLinks) {
      if (isIdle(entryLink)) closeLink(entryLink.link);
    }
  }

  /**
   * Closes a link after what was sent on it. An unreachable entry does not close
   * its half, so the link is destroyed after a timeout and can't delay the stop.
   */
  function closeLink(link: SocketLink): void {
    link.close();
    timers.after(closeTimeout, () => link.destroy());
  }

  return {
    get unsent() {
      let bytes = 0;
      for (const {link} of entryLinks) bytes += link.pending;
      return bytes;
    },
    accept,
    stop: (gracePeriod, deadline) => {
      isStopping = true;
      sweepTimer.cancel();
      for (const entryLink of entryLinks) send(entryLink, {type: 'leaving'});
      const leavingTimer = timers.after(gracePeriod + leavingTimeout, () => {
        closesIdle = true;
        closeIdle();
      });
      timers.after(deadline, () => {
        leavingTimer.cancel();
        for (const {link} of entryLinks) closeLink(link);
      });
    },
  };
}

function send({link}: EntryLink, frame: GateFrame): void {
  link.send(frame);
}

function isIdle({calls, arrived}: EntryLink): boolean {
  return calls.size === 0 && arrived.size === 0;
}

function toCall(frame: CallFrame, now: number): Call {
  const {body, left, goodFor} = frame;
  return {
    id: frame.request,
    service: frame.service,
    policy: frame.policy,
    workspace: frame.workspace,
    caller: frame.caller,
    method: frame.method,
    path: frame.path,
    headers: frame.headers,
    body: body === undefined ? {kind: 'none'} : {kind: 'whole', bytes: body},
    priority: frame.priority,
    isNested: frame.isNested,
    repeatability: frame.repeatability,
    key: frame.key,
    reported: frame.reported,
    deadline: now + left,
    goodUntil: now + goodFor,
  };
}

/** Options of `createFramedAnswer`. */
interface FramedAnswerOptions {
  readonly send: (frame: GateFrame) => void;
  readonly state: () => {
    load: number;
    estimate?: FinishEstimate;
    reported?: ReportedState;
  };
  /** Called once after the last frame was sent. */
  readonly ended: () => void;
}

/** An answer that is sent in frames on a link. */
interface FramedAnswer extends Answer {
  /** The caller has taken `bytes` more bytes. */
  taken(bytes: number): void;
}

function createFramedAnswer(
  call: number,
  {send, state, ended}: FramedAnswerOptions,
): FramedAnswer {
  /** Bytes that were sent and that the caller has not taken yet. */
  let unacknowledged = 0;
  let resume: (() => void) | undefined;

  function finish(frame: GateFrame): void {
    send(frame);
    ended();
  }

  return {
    // The call frame contained the whole body, so no upload waits for this.
    admit: () => {},
    start: ({status, reason, headers}) =>
      send({type: 'head', call, status, reason, headers, ...state()}),
    write: chunk => {
      unacknowledged += chunk.length;
      send({type: 'data', call, chunk});
      return unacknowledged < answerWindow;
    },
    onDrain: resumeSender => {
      resume = resumeSender;
    },
    end: () => finish({type: 'end', call}),
    refuse: ({code, retryAfter}) =>
      finish({
        type: 'refused',
        call,
        code: code.number,
        retryAfter,
        ...state(),
      }),
    cut: () => finish({type: 'cut', call}),
    taken: bytes => {
      unacknowledged -= bytes;
      if (unacknowledged >= answerWindow) return;
      const resumeSender = resume;
      resume = undefined;
      resumeSender?.();
    },
  };
}
