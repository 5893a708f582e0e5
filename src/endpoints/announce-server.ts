import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import polka from 'polka';
import {z} from 'zod';
import {isAddress, parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import type {Code} from '../result/code.js';
import {commonCodes} from '../result/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Announcer, Upstream} from './announcer.js';
import {endpointCodes} from './codes.js';
import type {Announcement} from './messages.js';

/** Settings of the listener where the upstream announces itself. */
export interface AnnounceServerOptions {
  /** The node's local address; reached by the upstream beside it only. */
  readonly address: Address;
  readonly announcer: Announcer;
  readonly timers: Timers;
  /** Milliseconds after which an announcement not renewed has lapsed. */
  readonly lease: number;
  /** Whether an upstream whose announcement lapsed still answers. */
  readonly answers?: () => boolean;
}

/** A running listener. */
export interface AnnounceServer {
  readonly address: Address;
  close(): Promise<void>;
}

const bodyLimit = 4096;
const nameForm = /^[a-z0-9][a-z0-9.-]{0,62}$/;

const upstreamSchema = z
  .object({
    instance: z.string().regex(nameForm).optional(),
    service: z.string().regex(nameForm),
    address: z.string().refine(isAddress, 'give an IP number and a port'),
    slots: z.number().int().positive(),
    connections: z.number().int().positive(),
    healthPath: z.string().startsWith('/').optional(),
    state: z.enum(['warming', 'serving', 'draining']),
    started: z.number().optional(),
  })
  .strict();

/**
 * Creates the listener: `POST /upstream` announces and renews, `DELETE
 * /upstream` takes back, `GET /upstream` tells what is announced.
 */
export async function createAnnounceServer(
  options: AnnounceServerOptions,
): Promise<AnnounceServer> {
  const {announcer, timers, lease} = options;
  let lapse: Subscription | undefined;

  /**
   * An upstream that died without a word must not stay announced. One that
   * only forgot to renew, and still answers, is kept.
   */
  function watch(): void {
    lapse?.cancel();
    lapse = timers.after(lease, () => {
      if (options.answers?.() === true) watch();
      else announcer.withdraw();
    });
  }

  function announce(said: Result<Upstream>): Result<Announcement> {
    if (!said.ok) return said;
    const result = announcer.announce(said.value);
    if (result.ok) watch();
    return result;
  }

  /** A body, where there is one, must name the instance announced here. */
  function withdraw(text: Result<string>): Result<Announcement> {
    if (!text.ok) return text;
    const named = readInstance(text.value);
    const current = announcer.current()?.instance;
    if (named !== undefined && current !== undefined && named !== current) {
      return failure(
        endpointCodes.announcementForeign,
        `this node announces ${current}, not ${named}; ask the node beside ${named}`,
      );
    }
    lapse?.cancel();
    return announcer.withdraw();
  }

  function tell(): Result<Announcement> {
    const current = announcer.current();
    if (current !== undefined && current.state !== 'gone') {
      return success(current);
    }
    return failure(
      endpointCodes.nothingAnnounced,
      'no upstream is announced here; announce one with POST /upstream',
    );
  }

  const server = createServer();
  polka({server})
    .post('/upstream', async (request, response) => {
      answer(response, announce(await readUpstream(request)), lease);
    })
    .delete('/upstream', async (request, response) => {
      answer(response, withdraw(await readText(request)), lease);
    })
    .get('/upstream', (_request, response) => {
      answer(response, tell(), lease);
    })
    // polka attaches its handler to the given server in `listen`.
    .listen(parseAddress(options.address).port, host(options.address));
  await listening(server);

  return {
    address: `${host(options.address)}:${(server.address() as AddressInfo).port}`,
    close() {
      lapse?.cancel();
      return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
      });
    },
  };
}

function host(address: Address): string {
  return parseAddress(address).host;
}

function listening(server: Server): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });
}

async function readUpstream(
  request: IncomingMessage,
): Promise<Result<Upstream>> {
  const text = await readText(request);
  return text.ok ? parseUpstream(text.value) : text;
}

async function readText(request: IncomingMessage): Promise<Result<string>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > bodyLimit) {
      return failure(
        endpointCodes.announcementTooLarge,
        `more than ${bodyLimit} bytes; send only the documented fields`,
      );
    }
    chunks.push(chunk);
  }
  return success(Buffer.concat(chunks).toString('utf8'));
}

function readInstance(text: string): string | undefined {
  try {
    const raw = JSON.parse(text) as {instance?: unknown} | null;
    return typeof raw?.instance === 'string' ? raw.instance : undefined;
  } catch {
    return undefined;
  }
}

/** Checks an announcement given as JSON text. */
export function parseUpstream(text: string): Result<Upstream> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return failure(
      endpointCodes.announcementInvalid,
      'the body is not JSON; send {service, address, slots, connections, state}',
    );
  }
  const parsed = upstreamSchema.safeParse(raw);
  if (parsed.success) return success(parsed.data);
  const issue = parsed.error.issues[0]!;
  const field = issue.path.join('.') || 'the body';
  return failure(
    endpointCodes.announcementInvalid,
    `${field}: ${issue.message}`,
  );
}

function answer(
  response: ServerResponse,
  result: Result<Announcement>,
  lease: number,
): void {
  const code: Code = result.ok ? commonCodes.ok : result.code;
  const body = result.ok
    ? {code: code.number, name: code.name, lease, announcement: result.value}
    : {
        code: code.number,
        name: code.name,
        effect: code.effect,
        message: result.message,
      };
  response.writeHead(code.status, {
    'content-type': 'application/json',
    'foxbarrow-code': String(code.number),
  });
  response.end(JSON.stringify(body));
}
