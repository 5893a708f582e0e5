/** What the small HTTP listeners of a process share: opening, closing, bodies. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Log} from '../log/log.js';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';
import {parseAddress} from './address.js';
import type {Address, Listener} from './link.js';

/** Opens a server; rejects when the port is taken. */
export function openServer(
  server: Server,
  address: Address,
): Promise<Listener> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = (server.address() as AddressInfo).port;
      resolve({
        address: `${host.includes(':') ? `[${host}]` : host}:${bound}`,
        close: () => closeServer(server),
      });
    });
  });
}

/**
 * Milliseconds in which calls under way are answered when a listener closes.
 * A peer whose connection has gone silent would hold up the stop of the whole
 * process: one that sent nothing yet, or half a request, counts as busy.
 */
const closeTime = 250;

/** Closes a server; resolves when the last call is answered or was cut. */
export function closeServer(
  server: Server,
  timers: Timers = createTimers(),
): Promise<void> {
  return new Promise(resolve => {
    const cut = timers.after(closeTime, () => server.closeAllConnections());
    server.close(() => {
      cut.cancel();
      resolve();
    });
    server.closeIdleConnections();
  });
}

/** Answers with a JSON body. */
export function answerJson(
  response: Pick<ServerResponse, 'writeHead' | 'end'>,
  status: number,
  body: object,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(body));
}

/** Reads a request's body as text; undefined when it is over `limit` bytes. */
export async function readText(
  incoming: AsyncIterable<Buffer> | IncomingMessage,
  limit: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    length += chunk.length;
    // What is over the limit is read to its end, so that the answer arrives.
    if (length <= limit) chunks.push(chunk);
  }
  return length > limit ? undefined : Buffer.concat(chunks).toString('utf8');
}

/**
 * Makes a listener's handler of one that may fail. A caller that breaks off in
 * the middle of its body makes the reading of it fail; taken by nobody, that
 * error would end the process.
 */
export function destroyOnError<Incoming, Answering>(
  log: Log,
  handle: (incoming: Incoming, response: Answering) => Promise<void>,
): (incoming: Incoming, response: Answering) => void {
  return (incoming, response) => {
    handle(incoming, response).catch((error: Error) => {
      log.warn('call not answered', {reason: error.message});
      (response as ServerResponse).destroy();
    });
  };
}
