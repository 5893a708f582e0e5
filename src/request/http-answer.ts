/** Answers over HTTP: to a caller, or from a gate to an entry. */
import {STATUS_CODES} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {Answer} from './answer.js';
import {headerNames} from './headers.js';
import type {AnswerHead, Refusal} from './messages.js';

/** Hears how an answer ended. */
export interface AnswerObserver {
  readonly onRefusal?: (refusal: Refusal) => void;
  readonly onCut?: () => void;
}

/** Options of `createHttpAnswer`. */
export interface HttpAnswerOptions extends AnswerObserver {
  /** Headers to add to each answer, names and values by turns. */
  readonly extra?: () => string[];
  /** Whether the connection closes after this answer. */
  readonly closing?: () => boolean;
  /** Test only: false to end a cut answer as if it were whole. */
  readonly visibleCuts?: boolean;
  /** The upstream takes the request; a held upload may go on. */
  readonly onAdmit?: () => void;
}

/** Creates the answer that goes out by `response`. */
export function createHttpAnswer(
  response: ServerResponse,
  options: HttpAnswerOptions = {},
): Answer {
  function headersOf(headers: readonly string[]): string[] {
    const all = [...headers, ...(options.extra?.() ?? [])];
    if (options.closing?.() === true) all.push('connection', 'close');
    return all;
  }

  function end(): void {
    if (!response.destroyed) response.end();
  }

  function begin(head: AnswerHead): void {
    const reason = head.reason || STATUS_CODES[head.status] || '';
    response.writeHead(head.status, reason, headersOf(head.headers));
  }

  // An object, not a class made here: a class for each call would give each
  // answer a shape of its own and make every call on it a slow one.
  return {
    admit: () => options.onAdmit?.(),
    start: head => {
      if (!response.destroyed) begin(head);
    },
    write: chunk => response.destroyed || response.write(chunk),
    onDrain: resume => void response.once('drain', resume),
    end,
    refuse: refusal => {
      options.onRefusal?.(refusal);
      if (response.destroyed) return;
      const body = JSON.stringify(describe(refusal));
      begin({
        status: refusal.code.status,
        reason: '',
        headers: refusalHeaders(refusal, Buffer.byteLength(body)),
      });
      response.end(body);
    },
    cut: () => {
      options.onCut?.();
      if (options.visibleCuts === false) return end();
      // A reset, not an end: a receiver of an answer without a length would
      // take an orderly close for the end of a whole answer.
      response.socket?.resetAndDestroy();
    },
  };
}

/** The JSON body of a refusal. */
export interface RefusalBody {
  readonly code: number;
  readonly name: string;
  readonly effect: string;
  readonly message: string;
}

/** What a refusal tells in its body. */
export function describe(refusal: Refusal): RefusalBody {
  const {number, name, effect, meaning} = refusal.code;
  const message =
    refusal.message === meaning ? meaning : `${refusal.message}. ${meaning}`;
  return {code: number, name, effect, message};
}

/** Headers of a refusal, names and values by turns. */
export function refusalHeaders(refusal: Refusal, length: number): string[] {
  return [
    'content-type',
    'application/json',
    'content-length',
    String(length),
    headerNames.code,
    String(refusal.code.number),
    headerNames.effect,
    refusal.code.effect,
    headerNames.retryAfter,
    String(refusal.retryAfter),
  ];
}
