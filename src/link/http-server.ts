/** Shared functions of the small HTTP listeners of a process. */
import {isUtf8} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Log} from '../log/log.js';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';
import {createAcceptQueue} from './accept-queue.js';
import {parseAddress} from './address.js';
import type {Address, Listener} from './link.js';

/**
 * Milliseconds from the head of a request until its response is taken. Without a
 * limit, a caller that sends its body without end, or reads no response, would hold
 * memory for good. The longest polls of operators take 10 s.
 */
const exchangeTimeout = 60_000;

/** Opens a server; rejects if the port is in use. */
export function openServer(
  server: Server,
  address: Address,
  timers: Timers = createTimers(),
): Promise<Listener> {
  const {host, port} = parseAddress(address);
  limitExchanges(server, timers);
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

/** Closes the connection of each exchange that isn't complete in time. */
function limitExchanges(server: Server, timers: Timers): void {
  server.prependListener(
    'request',
    (incoming: IncomingMessage, response: ServerResponse) => {
      const deadline = timers.after(exchangeTimeout, () => {
        const reason = `the request took more than ${exchangeTimeout} ms`;
        incoming.destroy(new Error(reason));
        response.destroy();
      });
      response.once('close', () => deadline.cancel());
    },
  );
}

/**
 * Milliseconds that requests in progress have to be answered when a listener
 * closes. Without a limit, an idle connection could delay the stop of the whole
 * process: a connection on which nothing or half a request was sent counts as
 * busy.
 */
const closeTimeout = 250;

/**
 * Closes a server after what has arrived was read; resolves when the last
 * request is answered or aborted.
 */
export function closeServer(
  server: Server,
  timers: Timers = createTimers(),
): Promise<void> {
  return new Promise(resolve => {
    let isClosing = false;
    function close(): void {
      if (isClosing) return;
      isClosing = true;
      server.close(() => {
        forcedClose.cancel();
        resolve();
      });
      server.closeIdleConnections();
    }
    const forcedClose = timers.after(closeTimeout, () => {
      close();
      server.closeAllConnections();
    });
    const acceptQueue = createAcceptQueue(timers);
    server.on('connection', acceptQueue.accepted);
    void acceptQueue.drained().then(close);
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

/**
 * Maximum number of bytes of an oversized body that are read and discarded, so
 * that the response arrives; a longer one closes the connection.
 */
const discardLimit = 64 * 1024 * 1024;

/** The text of a request's body, or why it can't be used. */
export type BodyText =
  | {readonly ok: true; readonly text: string}
  | {
      readonly ok: false;
      readonly reason: 'too-large' | 'not-utf8';
      /** For the sender. */
      readonly problem: string;
    };

/**
 * Reads a request's body as text. Rejects if it exceeds `limit` bytes and doesn't
 * end soon after.
 */
export async function readText(
  incoming: AsyncIterable<Buffer> | IncomingMessage,
  limit: number,
): Promise<BodyText> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length <= limit) chunks.push(chunk);
    else if (length > limit + discardLimit)
      throw new Error(`the body has more than ${limit} bytes and doesn't end`);
  }
  if (length > limit) {
    const problem = `the body has more than ${limit} bytes`;
    return {ok: false, reason: 'too-large', problem};
  }
  const bytes = Buffer.concat(chunks);
  // A lenient decoder would replace what it can't read without a sign.
  if (isUtf8(bytes)) return {ok: true, text: bytes.toString('utf8')};
  return {ok: false, reason: 'not-utf8', problem: 'the body is not UTF-8'};
}

/**
 * Wraps an asynchronous handler, so that an error is logged and destroys the
 * response. Reading a body fails if the client disconnects in the middle of it;
 * an unhandled error would end the process.
 */
export function destroyOnError<Incoming, Answering>(
  log: Log,
  handle: (incoming: Incoming, response: Answering) => Promise<void>,
): (incoming: Incoming, response: Answering) => void {
  return (incoming, response) => {
    handle(incoming, response).catch((error: Error) => {
      log.warn('request not answered', {reason: error.message});
      (response as ServerResponse).destroy();
    });
  };
}
