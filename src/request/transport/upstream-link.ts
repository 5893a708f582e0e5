/** Sends a gate's calls to its upstream in the upstream's protocol. */
import type {
  PendingRequest,
  UpstreamLink,
  UpstreamReceiver,
} from '../messages/hops.js';
import type {AnswerObservation} from '../messages/answer-observation.js';
import type {Call} from '../messages/call.js';
import type {Safeguards} from '../messages/safeguards.js';
import type {ConnectionPool} from './connection-pool.js';
import {endToEndHeaders, findHeader} from './headers.js';
import {sendRequest} from './sending.js';
import type {ResponseReceiver} from './sending.js';
import type {AnswerIdentity, StrayAnswer} from './stray-answers.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

/** Options of `createUpstreamLink`. */
export interface UpstreamLinkOptions {
  readonly connections: ConnectionPool;
  readonly protocol: UpstreamProtocol;
  readonly safeguards: Pick<
    Safeguards,
    'framing' | 'internalHeaders' | 'strayAnswers' | 'separateAttempts'
  >;
  /** Called with each answer that is not the result of a call. */
  readonly onObserved: (observation: AnswerObservation) => void;
}

/** Maximum number of rejected calls whose ids are kept. */
const maxRejectedCalls = 4096;

/** Creates the link to one upstream. */
export function createUpstreamLink(options: UpstreamLinkOptions): UpstreamLink {
  const {connections, protocol, safeguards, onObserved} = options;
  const headerOptions = {
    dropsInternal: safeguards.internalHeaders,
    foreign: protocol.foreign,
  };

  /**
   * Calls that the upstream rejected and that must not run twice: their ids and
   * the status of the rejection. The
   * next attempt of such a call bears the same id, so a late copy of the
   * rejection could be taken for its answer. It can only arrive on the
   * connection of the first attempt.
   */
  const rejectedCalls = new Map<string, number>();

  function recordRejection({id, repeatability}: Call, status: number): void {
    if (repeatability === 'idempotent') return;
    rejectedCalls.set(id, status);
    if (rejectedCalls.size <= maxRejectedCalls) return;
    const [oldest] = rejectedCalls.keys();
    rejectedCalls.delete(oldest!);
  }

  function recordStray({status, id}: StrayAnswer): void {
    onObserved({kind: 'stray', request: id, status});
    const rejectedWith = id === undefined ? undefined : rejectedCalls.get(id);
    // A copy of the rejection itself contradicts nothing.
    if (rejectedWith === undefined || rejectedWith === status) return;
    onObserved({kind: 'contradicted', request: id, status});
  }

  function translate(call: Call, receiver: UpstreamReceiver): ResponseReceiver {
    return {
      began: () => receiver.began(),
      interim: () => {},
      head: (status, reason, raw) => {
        const signals = protocol.signals(call, {status, headers: raw});
        if (signals !== undefined) receiver.signals(signals);
        const rejection = safeguards.framing
          ? protocol.checkAnswer(call, {status, headers: raw})
          : undefined;
        if (rejection !== undefined) {
          if (!isAnswerTo(call, raw)) {
            recordStray({status, id: idOf(raw)});
          } else if (rejection.refusal.code.effect === 'not-run') {
            onObserved({kind: 'rejected', request: call.id, status});
          }
          recordRejection(call, status);
          return receiver.rejected(rejection);
        }
        // Its own result is no contradiction, and it is not sent again.
        rejectedCalls.delete(call.id);
        receiver.head({
          status,
          reason,
          headers: endToEndHeaders(raw, headerOptions),
        });
      },
      data: chunk => receiver.data(chunk),
      end: () => receiver.end(),
      failed: (error, began) => receiver.failed(error, began),
    };
  }

  /** Whether an answer bears the id of the call, where answers bear one. */
  function isAnswerTo({id}: Call, headers: readonly string[]): boolean {
    return protocol.answerId === undefined || idOf(headers) === id;
  }

  function idOf(headers: readonly string[]): string | undefined {
    const {answerId} = protocol;
    return answerId === undefined ? undefined : findHeader(headers, answerId);
  }

  function identityOf({id}: Call): AnswerIdentity | undefined {
    const {answerId} = protocol;
    if (answerId === undefined || !safeguards.strayAnswers) return undefined;
    return {header: answerId, id, onStray: recordStray};
  }

  return {
    send: (call, timeLeft, receiver): PendingRequest | undefined => {
      const {method, path, body} = call;
      const headers = [...call.headers, ...protocol.headers(call, timeLeft)];
      const isNew = safeguards.separateAttempts && rejectedCalls.has(call.id);
      const needs = {identity: identityOf(call), isNew};
      const outgoing = {method, path, headers, body, needs};
      return sendRequest(connections, outgoing, translate(call, receiver));
    },
  };
}
