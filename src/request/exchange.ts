/** One caller's request and its answer at the entry, and how it ended. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Code} from '../result/code.js';
import type {Timers} from '../time/timers.js';
import type {Answer} from './answer.js';
import type {Attempts} from './attempts.js';
import {createHttpAnswer} from './http-answer.js';
import type {Listener} from './listener.js';
import type {Outcome} from './messages.js';
import type {Safeguards} from './safeguards.js';
import type {Match} from './router.js';
import type {Upload} from './upload.js';
import {hasBody} from './upload.js';
import {requestCodes} from './codes.js';

/** Options of `createExchange`. */
export interface ExchangeOptions {
  readonly listener: Listener;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
  readonly onOutcome: ((outcome: Outcome) => void) | undefined;
}

/** One request and its answer. */
export interface Exchange {
  readonly answer: Answer;
  /** Its route was found. */
  matched(match: Match): void;
  /** Its body was received, or streams from now on. */
  receives(upload: Upload): void;
  /** Its attempts are made; a caller that leaves cancels them. */
  attempted(attempts: Attempts): void;
}

/** Creates the exchange of one request. */
export function createExchange(
  request: IncomingMessage,
  response: ServerResponse,
  options: ExchangeOptions,
): Exchange {
  const {timers, listener, onOutcome} = options;
  const since = timers.now();
  let match: Match | undefined;
  let attempts: Attempts | undefined;
  let upload: Upload | undefined;
  let refusedBy: Code | undefined;

  const answer = createHttpAnswer(response, {
    onAdmit: () => {
      if (upload?.kind === 'stream') upload.release();
    },
    closing: () => listener.stopping,
    visibleCuts: options.safeguards.visibleCuts,
    onRefusal: refusal => {
      refusedBy = refusal.code;
    },
  });
  // Bodies are asked for only once the route is known to take them.
  if (request.headers.expect !== undefined && hasBody(request)) {
    setImmediate(() => {
      if (!response.headersSent && !response.destroyed)
        response.writeContinue();
    });
  }

  response.once('close', () => {
    const whole = response.writableFinished;
    if (!whole) attempts?.cancel();
    if (match !== undefined) onOutcome?.(outcomeOf(match, whole));
  });

  function outcomeOf({route, policy}: Match, whole: boolean): Outcome {
    const left = !whole && !response.headersSent;
    return {
      service: route.service,
      route: route.name,
      policy: policy.name,
      status: left ? requestCodes.callerLeft.status : response.statusCode,
      code: left ? requestCodes.callerLeft : refusedBy,
      duration: timers.now() - since,
      attempts: attempts?.count ?? 0,
      whole,
    };
  }

  return {
    answer,
    matched: found => {
      match = found;
    },
    receives: received => {
      upload = received;
    },
    attempted: made => {
      attempts = made;
    },
  };
}
