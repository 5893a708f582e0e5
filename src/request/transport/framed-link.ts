/**
 * The entry's end of the framed link to one gate. All calls to the gate share
 * one connection. With an HTTP connection for each call, the HTTP client and
 * server needed more processor time than all decisions about requests.
 */
import {createKeySharingCodec} from '../../link/codec.js';
import {createSocketLink} from '../../link/socket-link.js';
import type {SocketLink} from '../../link/socket-link.js';
import type {Log} from '../../log/log.js';
import {noLoopDelay} from '../../time/loop-delay.js';
import type {LoopDelay} from '../../time/loop-delay.js';
import {createSilenceWatch} from '../../time/silence-watch.js';
import {answerWindow} from './frames.js';
import type {EntryFrame, GateFrame} from './frames.js';
import {upgradeToLink} from './link-upgrade.js';
import type {LinkUpgradeOptions, OpeningFailure} from './link-upgrade.js';

/** Receives the gate's frames about one call. */
export abstract class FrameReceiver {
  abstract head(frame: GateFrame & {type: 'head'}): void;

  /** Takes a part of the answer; false until `FramedCall.taken` is called. */
  abstract data(chunk: Buffer): boolean;

  abstract end(): void;

  abstract cut(): void;

  abstract refused(frame: GateFrame & {type: 'refused'}): void;

  /** See `GateAnswer.silent`. */
  abstract silent(): void;

  /**
   * The link failed; `began` is whether the gate may have received the call.
   */
  abstract lost(error: Error, began: boolean): void;

  /** The gate has an older version that does not support framed links. */
  abstract unsupported(): void;
}

/** A call in progress on a link. */
export interface FramedCall {
  /** Reports that the caller has taken the data that was waiting for it. */
  taken(): void;
  /** Cancels the call; its receiver is not called any more. */
  cancel(): void;
}

/** Builds the frame of a call with the given number when it is sent. */
export type CallFrameBuilder = (call: number) => EntryFrame & {type: 'call'};

/** The link to one gate. */
export interface FramedLink {
  /** Number of calls in progress. */
  readonly calls: number;
  /** Whether new calls may be sent on it. */
  readonly isUsable: boolean;
  /** Whether the gate has sent nothing for some time although it should. */
  readonly isSilent: boolean;
  send(buildFrame: CallFrameBuilder, receiver: FrameReceiver): FramedCall;
  /** Detects an unreachable gate; must be called every `checkPeriod`. */
  check(): void;
  /**
   * The gate has opened another link. If this one stays silent from now on, it
   * is lost.
   */
  superseded(): void;
  /** Closes the link; calls in progress are lost. */
  close(): void;
}

/** Options of `openFramedLink`. */
export interface FramedLinkOptions extends LinkUpgradeOptions {
  /** Measures the delay of the event loop; no delay by default. */
  readonly loopDelay?: LoopDelay | undefined;
  readonly log: Log;
  /** Called when the gate has opened the link. */
  readonly onOpen?: () => void;
}

/** Milliseconds between two checks of a link. */
export const checkPeriod = 250;

/**
 * Milliseconds without a byte, while a ping is unanswered, after which a link
 * counts as silent. A network failure may silence a link for good without a
 * reset. But a full link of a VM delays the answer to a ping by seconds, too, so
 * calls on a silent link are only lost if the gate answers on a link that was
 * opened later.
 */
const maxSilence = 1000;

/** Milliseconds from which the answer to a ping is logged as late. */
const latePong = 500;

/** Maximum size of a gate's frame: a part of an answer and its envelope. */
const messageLimit = 1024 * 1024;

/** Bytes that the caller takes before the gate receives a `taken` frame. */
const takenReportStep = answerWindow / 4;

interface PendingCall {
  readonly buildFrame: CallFrameBuilder;
  readonly receiver: FrameReceiver;
  began: boolean;
  /**
   * Bytes that the caller has taken and that were not yet reported to the gate.
   */
  taken: number;
  /** Bytes that wait for the caller. */
  waiting: number;
}

/** Opens a link; calls are sent once it is open. */
export function openFramedLink(options: FramedLinkOptions): FramedLink {
  const {timers, log, address} = options;
  const loopDelay = options.loopDelay ?? noLoopDelay;
  const pendingCalls = new Map<number, PendingCall>();
  const silenceWatch = createSilenceWatch(timers, checkPeriod, maxSilence);
  let link: SocketLink | undefined;
  let isUsable = true;
  /** Since when the link has been silent. */
  let silentSince: number | undefined;
  /** When the gate opened another link while this one was silent. */
  let supersededAt: number | undefined;
  let lastCall = 0;
  let lastReceivedAt = 0;
  /** Bytes received up to the last check or frame. */
  let bytesIn = 0;
  /** When the first ping that is unanswered was sent. */
  let pingedAt: number | undefined;

  const opening = upgradeToLink(options, result => {
    if (result.kind !== 'open') return fail(result);
    link = createSocketLink(result.socket, {
      messageLimit,
      codec: createKeySharingCodec(),
      onFault: reason =>
        log.warn('gate link broken', {gate: address, reason: reason.message}),
    });
    options.onOpen?.();
    link.onClose(() => failBecause('the gate closed the link'));
    link.onMessage(message => {
      recordActivity();
      handleFrame(message as GateFrame);
    });
    recordActivity();
    for (const [call, pendingCall] of pendingCalls) sendCall(call, pendingCall);
  });

  function fail(result: OpeningFailure): void {
    isUsable = false;
    const lost = [...pendingCalls.values()];
    pendingCalls.clear();
    for (const {receiver, began} of lost) {
      if (result.kind === 'unsupported') receiver.unsupported();
      else receiver.lost(result.error, began);
    }
  }

  function failBecause(message: string): void {
    fail({kind: 'failed', error: new Error(message)});
  }

  function recordActivity(): void {
    lastReceivedAt = timers.now();
    bytesIn = link?.bytesIn ?? 0;
    silenceWatch.recordActivity();
    if (silentSince === undefined) return;
    log.info('gate link heard again', {
      gate: address,
      calls: pendingCalls.size,
      silent: Math.round(lastReceivedAt - silentSince),
    });
    silentSince = undefined;
    supersededAt = undefined;
  }

  function sendCall(call: number, pendingCall: PendingCall): void {
    pendingCall.began = true;
    link!.send(pendingCall.buildFrame(call));
  }

  function handleFrame(frame: GateFrame): void {
    if (frame.type === 'pong') return handlePong(frame);
    if (frame.type === 'leaving') return stopUsing();
    const pendingCall = pendingCalls.get(frame.call);
    // Frames of a call that was cancelled are ignored.
    if (pendingCall === undefined) return;
    if (frame.type === 'head') return pendingCall.receiver.head(frame);
    if (frame.type === 'data')
      return handleData(frame.call, pendingCall, frame.chunk);
    endCall(frame.call);
    if (frame.type === 'end') pendingCall.receiver.end();
    else if (frame.type === 'cut') pendingCall.receiver.cut();
    else pendingCall.receiver.refused(frame);
  }

  /** Logs where a late answer waited: at the gate, at this end, or on the way. */
  function handlePong(pong: GateFrame & {type: 'pong'}): void {
    const now = timers.now();
    const delay = now - (pingedAt ?? now);
    pingedAt = undefined;
    if (delay < latePong) return;
    log.info('gate link late', {
      gate: address,
      delay: Math.round(delay),
      calls: pendingCalls.size,
      gateLoopDelay: pong.loopDelay,
      gateUnsent: pong.unsent,
      ...ownState(),
    });
  }

  function ownState() {
    return {
      unsent: link?.pending ?? 0,
      loopDelay: Math.round(loopDelay.current()),
    };
  }

  function handleData(
    call: number,
    pendingCall: PendingCall,
    chunk: Buffer,
  ): void {
    if (!pendingCall.receiver.data(chunk)) {
      pendingCall.waiting += chunk.length;
      return;
    }
    reportTaken(call, pendingCall, chunk.length);
  }

  function reportTaken(
    call: number,
    pendingCall: PendingCall,
    bytes: number,
  ): void {
    pendingCall.taken += bytes;
    if (pendingCall.taken < takenReportStep) return;
    link?.send({type: 'taken', call, bytes: pendingCall.taken});
    pendingCall.taken = 0;
  }

  /**
   * The gate stops: calls in progress are finished, new ones use another link.
   */
  function stopUsing(): void {
    isUsable = false;
    if (pendingCalls.size === 0) link!.close();
  }

  function endCall(call: number): void {
    pendingCalls.delete(call);
    if (!isUsable && pendingCalls.size === 0) link?.close();
  }

  function check(): void {
    if (link !== undefined && link.bytesIn > bytesIn) recordActivity();
    const activity = silenceWatch.check();
    if (pendingCalls.size === 0 || link === undefined) return;
    if (activity === 'silent') return checkSilent(link);
    if (timers.now() - lastReceivedAt < checkPeriod) return;
    pingedAt ??= timers.now();
    link.send({type: 'ping'});
  }

  function checkSilent(silent: SocketLink): void {
    const now = timers.now();
    if (silentSince === undefined) {
      silentSince = lastReceivedAt;
      log.warn('gate link silent', {
        gate: address,
        calls: pendingCalls.size,
        silent: Math.round(now - silentSince),
        ...ownState(),
      });
    }
    if (supersededAt !== undefined && now - supersededAt > maxSilence) {
      log.warn('gate link lost', {gate: address, calls: pendingCalls.size});
      failBecause('the gate answers on another link only');
      silent.destroy();
      return;
    }
    for (const {receiver} of [...pendingCalls.values()]) receiver.silent();
  }

  return {
    get calls() {
      return pendingCalls.size;
    },
    get isUsable() {
      return isUsable;
    },
    get isSilent() {
      return silentSince !== undefined;
    },
    send: (buildFrame, receiver) => {
      const call = ++lastCall;
      // The gate had nothing to send before, so its silence counts from now.
      if (pendingCalls.size === 0) recordActivity();
      const pendingCall = {
        buildFrame,
        receiver,
        began: false,
        taken: 0,
        waiting: 0,
      };
      pendingCalls.set(call, pendingCall);
      if (link !== undefined) sendCall(call, pendingCall);
      return {
        taken: () => {
          const {waiting} = pendingCall;
          pendingCall.waiting = 0;
          reportTaken(call, pendingCall, waiting);
        },
        cancel: () => {
          if (pendingCalls.get(call) !== pendingCall) return;
          if (pendingCall.began) link?.send({type: 'cancel', call});
          endCall(call);
        },
      };
    },
    check,
    superseded: () => {
      if (silentSince !== undefined) supersededAt ??= timers.now();
    },
    close: () => {
      if (link === undefined) opening.cancel();
      else link.close();
    },
  };
}
