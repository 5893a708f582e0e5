/** What the small HTTP listeners of a process share: opening, closing, bodies. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parseAddress} from './address.js';
import type {Address} from './link.js';

/** Opens a server; resolves to where it listens, rejects when the port is taken. */
export function openServer(server: Server, address: Address): Promise<Address> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = (server.address() as AddressInfo).port;
      resolve(`${host.includes(':') ? `[${host}]` : host}:${bound}`);
    });
  });
}

/** Closes a server; resolves when the last request has been answered. */
export function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
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
