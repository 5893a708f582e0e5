/** Sends a gate's calls to its upstream in the upstream's protocol. */
import type {
  PendingRequest,
  UpstreamLink,
  UpstreamReceiver,
} from '../messages/hops.js';
import type {Call} from '../messages/call.js';
import type {Safeguards} from '../messages/safeguards.js';
import type {ConnectionPool} from './connection-pool.js';
import {endToEndHeaders} from './headers.js';
import {sendRequest} from './sending.js';
import type {ResponseReceiver} from './sending.js';
import type {UpstreamProtocol} from './upstream-protocol.js';

/** Options of `createUpstreamLink`. */
export interface UpstreamLinkOptions {
  readonly connections: ConnectionPool;
  readonly protocol: UpstreamProtocol;
  readonly safeguards: Pick<Safeguards, 'framing' | 'internalHeaders'>;
}

/** Creates the link to one upstream. */
export function createUpstreamLink(options: UpstreamLinkOptions): UpstreamLink {
  const {connections, protocol, safeguards} = options;
  const headerOptions = {
    dropsInternal: safeguards.internalHeaders,
    foreign: protocol.foreign,
  };

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
        if (rejection !== undefined) return receiver.rejected(rejection);
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

  return {
    send: (call, timeLeft, receiver): PendingRequest | undefined => {
      const {method, path, body} = call;
      const headers = [...call.headers, ...protocol.headers(call, timeLeft)];
      const outgoing = {method, path, headers, body};
      return sendRequest(connections, outgoing, translate(call, receiver));
    },
  };
}
