/**
 * The entry's end of the framed link to one gate. All calls to the gate share
 * one connection: over a connection for each call an HTTP client and a server
 * took more of a node's processor than all of its decisions.
 */
import {createKeySharingCodec} from '../../link/codec.js';
import {createSocketLink} from '../../link/socket-link.js';
import type {SocketLink} from '../../link/socket-link.js';
import type {Log} from '../../log/log.js';
import {createSilenceWatch} from '../../time/silence-watch.js';
import {answerWindow} from './frames.js';
import type {EntryFrame, GateFrame} from './frames.js';
import {upgradeToLink} from './link-upgrade.js';
import type {LinkUpgradeOptions, Unopened} from './link-upgrade.js';

/** Hears what a gate says about one call. */
export abstract class FrameReceiver {
  abstract head(frame: GateFrame & {type: 'head'}): void;

  /** Takes a part of the answer; false until `FramedCall.taken` is called. */
  abstract data(chunk: Buffer): boolean;

  abstract end(): void;

  abstract cut(): void;

  abstract refused(frame: GateFrame & {type: 'refused'}): void;

  /** The link failed; `began` tells whether the call may have been read. */
  abstract lost(error: Error, began: boolean): void;

  /** The gate is of an older version that has no framed links. */
  abstract unsupported(): void;
}

/** A call under way on a link. */
export interface FramedCall {
  /** The caller has taken what `FrameReceiver.data` could not pass on. */
  taken(): void;
  /** Ends the call here; nothing is heard of it any more. */
  cancel(): void;
}

/** A call as its caller makes it; told when it is written. */
export type WriteCall = (call: number) => EntryFrame & {type: 'call'};

/** The link to one gate. */
export interface FramedLink {
  /** Calls under way. */
  readonly calls: number;
  /** Whether new calls may be sent on it. */
  readonly isUsable: boolean;
  send(write: WriteCall, receiver: FrameReceiver): FramedCall;
  /** Looks whether the gate is still there; to be called each `lookPeriod`. */
  look(): void;
  /** Closes it; calls under way are lost. */
  close(): void;
}

/** Options of `openFramedLink`. */
export interface FramedLinkOptions extends LinkUpgradeOptions {
  readonly log: Log;
}

/** Milliseconds between two looks at a link. */
export const lookPeriod = 250;

/**
 * Milliseconds without a word of a gate that owes an answer to a ping. A link
 * may go silent for good without a reset; calls on it would be held until their
 * deadlines. A gate that is only busy answers within a few tens.
 */
const longestSilence = 1000;

/** Largest frame of a gate: a part of an answer and its wrapping. */
const messageLimit = 1024 * 1024;

/** Bytes taken after which a gate hears of it. */
const takenStep = answerWindow / 4;

interface Pending {
  readonly write: WriteCall;
  readonly receiver: FrameReceiver;
  began: boolean;
  /** Bytes taken that the gate has not heard of. */
  taken: number;
  /** Bytes that wait for the caller. */
  waiting: number;
}

/** Opens a link; calls wait until it is open. */
export function openFramedLink(options: FramedLinkOptions): FramedLink {
  const {timers, log, address} = options;
  const pending = new Map<number, Pending>();
  const watch = createSilenceWatch(timers, lookPeriod, longestSilence);
  let link: SocketLink | undefined;
  let isUsable = true;
  let lastCall = 0;
  let heardAt = 0;

  const opening = upgradeToLink(options, result => {
    if (result.kind !== 'open') return fail(result);
    link = createSocketLink(result.socket, {
      messageLimit,
      codec: createKeySharingCodec(),
      onFault: reason =>
        log.warn('gate link broken', {gate: address, reason: reason.message}),
    });
    link.onClose(() => failBecause('the gate closed the link'));
    link.onMessage(message => {
      hear();
      take(message as GateFrame);
    });
    hear();
    for (const [call, one] of pending) begin(call, one);
  });

  function fail(result: Unopened): void {
    isUsable = false;
    const lost = [...pending.values()];
    pending.clear();
    for (const {receiver, began} of lost) {
      if (result.kind === 'unsupported') receiver.unsupported();
      else receiver.lost(result.error, began);
    }
  }

  function failBecause(message: string): void {
    fail({kind: 'failed', error: new Error(message)});
  }

  function hear(): void {
    heardAt = timers.now();
    watch.recordActivity();
  }

  function begin(call: number, one: Pending): void {
    one.began = true;
    link!.send(one.write(call));
  }

  function take(frame: GateFrame): void {
    if (frame.type === 'pong') return;
    if (frame.type === 'leaving') return leave();
    const one = pending.get(frame.call);
    // What a gate still says of a call that was cancelled is of no interest.
    if (one === undefined) return;
    if (frame.type === 'head') return one.receiver.head(frame);
    if (frame.type === 'data') return takeData(frame.call, one, frame.chunk);
    finish(frame.call);
    if (frame.type === 'end') one.receiver.end();
    else if (frame.type === 'cut') one.receiver.cut();
    else one.receiver.refused(frame);
  }

  function takeData(call: number, one: Pending, chunk: Buffer): void {
    if (!one.receiver.data(chunk)) {
      one.waiting += chunk.length;
      return;
    }
    tellTaken(call, one, chunk.length);
  }

  function tellTaken(call: number, one: Pending, bytes: number): void {
    one.taken += bytes;
    if (one.taken < takenStep) return;
    link?.send({type: 'taken', call, bytes: one.taken});
    one.taken = 0;
  }

  /** The gate stops; what is under way still ends here. */
  function leave(): void {
    isUsable = false;
    if (pending.size === 0) link!.close();
  }

  function finish(call: number): void {
    pending.delete(call);
    if (!isUsable && pending.size === 0) link?.close();
  }

  return {
    get calls() {
      return pending.size;
    },
    get isUsable() {
      return isUsable;
    },
    send: (write, receiver) => {
      const call = ++lastCall;
      // Nothing was owed until now; silence counts from here.
      if (pending.size === 0) hear();
      const one = {write, receiver, began: false, taken: 0, waiting: 0};
      pending.set(call, one);
      if (link !== undefined) begin(call, one);
      return {
        taken: () => {
          const {waiting} = one;
          one.waiting = 0;
          tellTaken(call, one, waiting);
        },
        cancel: () => {
          if (pending.get(call) !== one) return;
          if (one.began) link?.send({type: 'cancel', call});
          finish(call);
        },
      };
    },
    look: () => {
      const hearing = watch.check();
      if (pending.size === 0 || link === undefined) return;
      if (hearing === 'silent') {
        log.warn('gate link silent', {gate: address, calls: pending.size});
        failBecause(`nothing heard for ${longestSilence} ms`);
        link.destroy();
        return;
      }
      const isQuiet = timers.now() - heardAt >= lookPeriod;
      if (isQuiet) link.send({type: 'ping'});
    },
    close: () => {
      if (link === undefined) opening.cancel();
      else link.close();
    },
  };
}
