/** One call to a gate on the framed link that all calls to it share. */
import {Failure} from '../../result/failure.js';
import type {Timers} from '../../time/timers.js';
import type {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import {delayUntil} from '../../time/deadline.js';
import type {FramedLink, FrameReceiver} from './framed-link.js';
import type {CallFrame} from './frames.js';
import {codeOf, decisionMargin, refusalForFailure, timeLeft} from './gate-call.js';
import {endToEndHeaders} from './headers.js';
import type {Call, Cancel} from '../messages/call.js';
import type {GateTarget} from '../messages/hops.js';
import {refusal} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';

/** A call and the link that carries it. */
export interface FramedCallOptions {
  readonly call: Call;
  readonly peer: GateTarget;
  readonly answer: Answer;
  readonly link: FramedLink;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
  readonly foreign: ReadonlySet<string> | undefined;
  /** The gate has no framed links; nothing was sent to it. */
  readonly unsupported: () => void;
}

/** Makes the call. */
export function callOverLink(options: FramedCallOptions): Cancel {
  const {call, peer, answer, link, timers, safeguards, foreign} = options;
  let isStarted = false;
  let isBegun = false;

  const receiver: FrameReceiver = {
    head: ({status, reason, headers, load}) => {
      peer.loaded(load);
      isStarted = true;
      answer.start({status, reason, headers: endToEndHeaders(headers, {foreign})});
    },
    data: chunk => {
      if (answer.write(chunk)) return true;
      answer.onDrain(() => sent.taken());
      return false;
    },
    end: () => {
      limit.cancel();
      answer.end();
    },
    cut: () => {
      limit.cancel();
      answer.cut();
    },
    refused: ({code, retryAfter, load}) => {
      limit.cancel();
      peer.loaded(load);
      answer.refuse(refusal(codeOf(code), undefined, retryAfter));
    },
    lost: fail,
    unsupported: () => {
      limit.cancel();
      options.unsupported();
    },
  };

  function fail(error: Error, began: boolean): void {
    limit.cancel();
    if (isStarted) answer.cut();
    else answer.refuse(refusalForFailure(error, began && safeguards.doubt));
  }

  function write(number: number): CallFrame {
    isBegun = true;
    const {instance, service} = peer.announcement;
    const {body} = call;
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
      ...timeLeft(call, timers),
    };
  }

  const sent = link.send(write, receiver);
  const left = delayUntil(call.deadline + decisionMargin, timers.now());
  const limit = timers.after(left, () => {
    sent.cancel();
    fail(new Failure(requestCodes.deadlinePassed, 'no answer'), isBegun);
  });
  return () => {
    limit.cancel();
    sent.cancel();
  };
}
