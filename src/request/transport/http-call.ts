/**
 * One call to a gate over a separate HTTP connection. A streamed body needs the
 * back-pressure of its connection, which would delay the other calls on a
 * shared link.
 */
import {Failure} from '../../result/failure.js';
import type {Subscription, Timers} from '../../time/timers.js';
import type {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import type {ConnectionPool} from './connection-pool.js';
import {delayUntil} from '../../time/deadline.js';
import {
  codeOf,
  decisionMargin,
  isOwnReport,
  refusalForFailure,
  timeLeft,
} from './gate-call.js';
import {
  endToEndHeaders,
  findHeader,
  headerNames,
  withoutHeader,
} from './headers.js';
import type {Call, Cancel, Refusal} from '../messages/call.js';
import type {GateTarget, PendingRequest} from '../messages/hops.js';
import {parseEstimate} from '../messages/finish-estimate.js';
import {
  formatReportedState,
  parseReportedState,
} from '../messages/reported-state.js';
import {createRefusal} from '../messages/refusal.js';
import type {Safeguards} from '../messages/safeguards.js';
import {isLargeBody} from '../messages/upload.js';
import type {Upload, WholeUpload} from '../messages/upload.js';
import {sendRequest} from './sending.js';
import type {ResponseReceiver} from './sending.js';
import {holdBody} from './upload.js';

const millisecondsPerSecond = 1000;

/** Options of `callOverHttp`. */
export interface HttpCall {
  readonly call: Call;
  readonly bodyLimit: number;
  readonly peer: GateTarget;
  readonly answer: Answer;
  readonly link: ConnectionPool;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
  readonly foreign: ReadonlySet<string> | undefined;
}

/** Sends a call over HTTP. */
export function callOverHttp(options: HttpCall): Cancel {
  const {call, peer, answer, timers, safeguards, foreign} = options;
  let deadlineTimer: Subscription | undefined;
  let isRefused = false;
  let isStarted = false;
  let hasEnded = false;

  const receiver: ResponseReceiver = {
    began: () => {},
    // The gate reports that the request was admitted; the upload may continue.
    interim: () => {
      held?.release();
      answer.admit();
    },
    head: (status, reason, raw) => {
      const load = findHeader(raw, headerNames.load);
      if (load !== undefined) peer.updateLoad(Number(load));
      const reported = parseReportedState(
        findHeader(raw, headerNames.reported),
      );
      const estimate = parseEstimate(findHeader(raw, headerNames.estimate));
      const code = findHeader(raw, headerNames.code);
      if (code !== undefined) {
        isRefused = true;
        const refusal = readRefusal(Number(code), raw);
        if (isOwnReport(refusal)) {
          peer.updateReported(reported);
          peer.updateEstimate(call, estimate);
        }
        answer.refuse(refusal);
        return;
      }
      peer.updateReported(reported);
      peer.updateEstimate(call, estimate);
      isStarted = true;
      answer.start({status, reason, headers: endToEndHeaders(raw, {foreign})});
    },
    data: chunk => {
      if (isRefused || answer.write(chunk)) return true;
      answer.onDrain(() => sending?.resume());
      return false;
    },
    end: () => {
      end();
      if (!isRefused) answer.end();
    },
    failed: (error, began) => {
      end();
      if (isRefused) return;
      if (isStarted) answer.cut();
      else
        answer.refuse(
          refusalForFailure(error, began && safeguards.unknownEffect),
        );
    },
  };

  function end(): void {
    hasEnded = true;
    deadlineTimer?.cancel();
  }

  const {method, path, body} = call;
  const held = isHeld(body) ? holdBody(body.bytes) : undefined;
  const headers = headersOf(options);
  const sending: PendingRequest | undefined = sendRequest(
    options.link,
    {method, path, headers, body: held ?? body},
    receiver,
  );
  if (sending === undefined) {
    answer.refuse(
      createRefusal(requestCodes.full, 'too many calls to one gate'),
    );
    return () => {};
  }
  if (!hasEnded) {
    const delay = delayUntil(call.deadline + decisionMargin, timers.now());
    deadlineTimer = timers.after(delay, () =>
      sending.cancel(new Failure(requestCodes.deadlinePassed, 'no answer')),
    );
  }
  return () =>
    sending.cancel(new Failure(requestCodes.callerLeft, 'the caller left'));
}

function headersOf(options: HttpCall): string[] {
  const {call, bodyLimit, peer, timers} = options;
  const {instance, service} = peer.announcement;
  const {left, goodFor} = timeLeft(call, timers);
  const reported = peer.reported();
  return [
    ...(isHeld(call.body)
      ? toChunkedHeaders(call.headers, call.body)
      : call.headers),
    ...[headerNames.request, call.id],
    ...[headerNames.timeout, String(left)],
    ...[headerNames.goodFor, String(goodFor)],
    ...[headerNames.instance, instance],
    ...[headerNames.service, service],
    ...(call.caller === undefined ? [] : [headerNames.caller, call.caller]),
    ...(call.workspace === undefined
      ? []
      : [headerNames.workspace, call.workspace]),
    ...(call.policy === undefined ? [] : [headerNames.policy, call.policy]),
    ...(reported === undefined
      ? []
      : [headerNames.reported, formatReportedState(reported)]),
    ...[headerNames.priority, call.priority],
    ...(call.isNested === true ? [headerNames.nested, '1'] : []),
    ...[headerNames.repeatability, call.repeatability],
    ...[headerNames.bodyLimit, String(bodyLimit)],
  ];
}

/**
 * Gates of older versions read a body of a declared length up to 64 KiB before
 * they admit the call, so one that is held back is sent in chunks.
 */
function toChunkedHeaders(
  headers: readonly string[],
  {bytes}: WholeUpload,
): string[] {
  const others = withoutHeader(headers, 'content-length');
  return [...others, headerNames.bodyLength, String(bytes.length)];
}

/** Whether a body was received completely, but is sent only once admitted. */
function isHeld(body: Upload): body is WholeUpload {
  return body.kind === 'whole' && isLargeBody(body);
}

function readRefusal(number: number, raw: readonly string[]): Refusal {
  const wait = findHeader(raw, headerNames.wait);
  if (wait === undefined) return createRefusal(codeOf(number));
  const retryAfter = Number(wait) / millisecondsPerSecond;
  return createRefusal(codeOf(number), undefined, retryAfter);
}
