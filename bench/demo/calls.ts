/** HTTP calls of the demo. */
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {request} from 'undici';
import {parseAddress} from '../../src/link/address.js';

/** An answer with its complete body. */
export interface Reply {
  readonly status: number;
  readonly code: number;
  readonly effect: string;
  readonly body: Buffer;
  /** Whether the body matches the digest that the upstream sent. */
  readonly isWhole: boolean;
  /** Tag of the request that the answer belongs to, as given in its header. */
  readonly tag: string;
}

/** Options of a call. */
export interface CallOptions {
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly tag?: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly body?: Buffer;
}

/** Sends a call and reads the complete answer. */
export async function call(
  address: string,
  path: string,
  options: CallOptions = {},
): Promise<Reply> {
  const answer = await request(`http://${address}${path}`, {
    method: options.method ?? 'GET',
    headers: {
      ...(options.tag !== undefined && {'x-tag': options.tag}),
      ...(options.key !== undefined && {'idempotency-key': options.key}),
    },
    body: options.body ?? null,
  });
  const body = Buffer.from(await answer.body.arrayBuffer());
  const header = (name: string) => String(answer.headers[name] ?? '');
  return {
    status: answer.statusCode,
    code: Number(header('foxbarrow-code') || 0),
    effect: header('foxbarrow-effect'),
    body,
    isWhole: header('x-digest') === sha256(body),
    tag: header('x-tag'),
  };
}

/** Returns the SHA-256 digest in hex. */
export function sha256(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/**
 * Sends raw text and returns everything received until the connection closes.
 */
export function sendRaw(address: string, text: string): Promise<string> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect(port, host, () => socket.write(text));
    let answer = '';
    socket.on('data', chunk => (answer += chunk.toString()));
    socket.on('error', reject);
    socket.on('close', () => resolve(answer));
    socket.setTimeout(5000, () => socket.destroy());
  });
}
