/** Calls of the demo, as callers of either deployment make them. */
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {request} from 'undici';
import {parseAddress} from '../../src/link/address.js';

/** One answer, read whole. */
export interface Reply {
  readonly status: number;
  readonly code: number;
  readonly effect: string;
  readonly body: Buffer;
  /** Whether the body is what the upstream said that it sent. */
  readonly isWhole: boolean;
  /** The answer's own word on whose request it answers. */
  readonly tag: string;
}

/** What one call sends. */
export interface CallOptions {
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly tag?: string;
  readonly key?: string;
  readonly body?: Buffer;
}

/** Makes one call. */
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

/** The SHA-256 digest in hex. */
export function sha256(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Sends raw bytes and gives the first line and code of what comes back. */
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
