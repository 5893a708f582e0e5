/** Sends a gate's calls to its upstream in the upstream's protocol. */
import type {
  PendingRequest,
  UpstreamLink,
  UpstreamReceiver,
} from '../messages/hops.js';
import type {Call} from '../messages/call.js';
import type {Safeguards} from '../messages/safeguards.js';
import type {ConnectionPool} from './connection-pool.js';
import {endToEndHeaders, findHeader} from './headers.js';
import {sendRequest} from './sending.js';
import type {ResponseReceiver} from './sending.js';
import type {AnswerIdentity} from './stray-answers.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

/** Options of `createUpstreamLink`. */
export interface UpstreamLinkOptions {
  readonly connections: ConnectionPool;
  readonly protocol: UpstreamProtocol;
  readonly safeguards: Pick<
    Safeguards,
    'framing' | 'internalHeaders' | 'strayAnswers' | 'separateAttempts'
  >;
  /**
   * Called with the status of each answer that was not to the request at which
   * it arrived.
   */
  readonly onStray: (status: number) => void;
}

/** Maximum number of rejected calls whose ids are kept. */
const maxRejectedCalls = 4096;

/** Creates the link to one upstream. */
export function createUpstreamLink(options: UpstreamLinkOptions): UpstreamLink {
  const {connections, protocol, safeguards, onStray} = options;
  const headerOptions = {
    dropsInternal: safeguards.internalHeaders,
    foreign: protocol.foreign,
  };

  /**
   * Ids of calls that the upstream rejected and that must not run twice. The
   * next attempt of such a call bears the same id, so a late copy of the
   * rejection could be taken for its answer. It can only arrive on the
   * connection of the first attempt.
   */
  const rejectedCalls = new Set<string>();

  function recordRejection({id, repeatability}: Call): void {
    if (repeatability === 'idempotent') return;
    rejectedCalls.add(id);
    if (rejectedCalls.size <= maxRejectedCalls) return;
    const [oldest] = rejectedCalls;
    rejectedCalls.delete(oldest!);
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
          if (!isAnswerTo(call, raw)) onStray(status);
          recordRejection(call);
          return receiver.rejected(rejection);
        }
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
  function isAnswerTo({id}: Call, headers: readonly Buffer[]): boolean {
    const {answerId} = protocol;
    return answerId === undefined || findHeader(headers, answerId) === id;
  }

  function identityOf({id}: Call): AnswerIdentity | undefined {
    const {answerId} = protocol;
    if (answerId === undefined || !safeguards.strayAnswers) return undefined;
    return {header: answerId, id, onStray};
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
