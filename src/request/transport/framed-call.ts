/** One call to a gate over the framed link that all calls to the gate share. */
import {Failure} from '../../result/failure.js';
import type {Timers} from '../../time/timers.js';
import {requestCodes} from '../messages/codes.js';
import {delayUntil} from '../../time/deadline.js';
import type {FramedLink, FrameReceiver} from './framed-link.js';
import type {CallFrame} from './frames.js';
import {
  codeOf,
  decisionMargin,
  isOwnReport,
  refusalForFailure,
  timeLeft,
} from './gate-call.js';
import {endToEndHeaders} from './headers.js';
import type {Call, Cancel} from '../messages/call.js';
import type {GateAnswer, GateTarget} from '../messages/hops.js';
import {createRefusal} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';

/** Options of `callOverLink`. */
export interface FramedCallOptions {
  readonly call: Call;
  readonly peer: GateTarget;
  readonly answer: GateAnswer;
  readonly link: FramedLink;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
  readonly foreign: ReadonlySet<string> | undefined;
  /** Called if the gate does not support framed links; nothing was sent. */
  readonly unsupported: () => void;
}

/** Sends a call over a framed link. */
export function callOverLink(options: FramedCallOptions): Cancel {
  const {call, peer, answer, link, timers, safeguards, foreign} = options;
  let isStarted = false;
  let isBegun = false;

  const receiver: FrameReceiver = {
    head: ({status, reason, headers, load, estimate, reported}) => {
      peer.updateLoad(load);
      peer.updateEstimate(call, estimate);
      peer.updateReported(reported);
      isStarted = true;
      answer.start({
        status,
        reason,
        headers: endToEndHeaders(headers, {foreign}),
      });
    },
    data: chunk => {
      if (answer.write(chunk)) return true;
      answer.onDrain(() => framedCall.taken());
      return false;
    },
    end: () => {
      timeoutTimer.cancel();
      answer.end();
    },
    cut: () => {
      timeoutTimer.cancel();
      answer.cut();
    },
    refused: ({code, retryAfter, load, estimate, reported}) => {
      timeoutTimer.cancel();
      peer.updateLoad(load);
      const refusal = createRefusal(codeOf(code), undefined, retryAfter);
      if (isOwnReport(refusal)) {
        peer.updateReported(reported);
        peer.updateEstimate(call, estimate);
      }
      answer.refuse(refusal);
    },
    silent: () => answer.silent(),
    lost: fail,
    unsupported: () => {
      timeoutTimer.cancel();
      options.unsupported();
    },
  };

  function fail(error: Error, began: boolean): void {
    timeoutTimer.cancel();
    if (isStarted) answer.cut();
    else
      answer.refuse(
        refusalForFailure(error, began && safeguards.unknownEffect),
      );
  }

  function buildFrame(number: number): CallFrame {
    isBegun = true;
    const {instance, service} = peer.announcement;
    const {body} = call;
    const reported = peer.reported();
    return {
      type: 'call',
      call: number,
      request: call.id,
      policy: call.policy,
      caller: call.caller,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: body.kind === 'whole' ? body.bytes : undefined,
      priority: call.priority,
      repeatability: call.repeatability,
      key: call.key,
      instance,
      service,
      ...(call.workspace !== undefined && {workspace: call.workspace}),
      ...(call.isNested === true && {isNested: true}),
      ...(reported !== undefined && {reported}),
      ...timeLeft(call, timers),
    };
  }

  const framedCall = link.send(buildFrame, receiver);
  const timeout = delayUntil(call.deadline + decisionMargin, timers.now());
  const timeoutTimer = timers.after(timeout, () => {
    framedCall.cancel();
    fail(new Failure(requestCodes.deadlinePassed, 'no answer'), isBegun);
  });
  return () => {
    timeoutTimer.cancel();
    framedCall.cancel();
  };
}
