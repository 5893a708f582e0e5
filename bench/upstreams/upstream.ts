import {createHash} from 'node:crypto';
import process from 'node:process';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import polka from 'polka';
import type {Request} from 'polka';
import type {Random} from '../../src/random/random.js';
import type {Timers} from '../../src/time/timers.js';
import {createFaultQueue, faultKinds, sendFaulty} from './faults.js';
import type {FaultKind} from './faults.js';
import {createCounts} from './counts.js';
import type {Counts} from './counts.js';
import {createReports} from './reports.js';
import {digestHeader, serviceShapes, tagHeader} from './service.js';
import type {WorkKind, ServiceName} from './service.js';
import {createDelayedValue, createSlots} from './slots.js';
import type {Overload} from './slots.js';

/** Options of createUpstream. */
export interface UpstreamOptions {
  readonly service: ServiceName;
  readonly instance: string;
  readonly slots: number;
  readonly connections: number;
  /** Average duration of a piece of work, in milliseconds. */
  readonly work: number;
  /** Milliseconds after the start during which work takes longer. */
  readonly coldStart: number;
  /** Milliseconds by which health and load responses are out of date. */
  readonly lag: number;
  readonly overload: Overload;
  /** Share of answers that are failures, 0 to 1; default 0. */
  readonly failing?: number;
  /** Share of answers that take four times as long, 0 to 1; default 0. */
  readonly slow?: number;
  /** A request whose path or body contains this word crashes the process. */
  readonly crash?: string;
  readonly timers: Timers;
  readonly random: Random;
}

/** A stand-in upstream with its HTTP server. */
export interface Upstream {
  readonly server: Server;
  state(): 'warming' | 'serving' | 'draining';
  drain(): void;
  counts(): Counts;
  /** Resolves when no work is running or queued. */
  idle(): Promise<void>;
}

interface Body {
  readonly whole: boolean;
  readonly digest: string;
  readonly bytes: Buffer;
}

/** At the start of a cold start, work takes `1 + coldFactor` times as long. */
const coldFactor = 9;

/** How much longer the slow answers of a bad version take. */
const slowFactor = 4;
const maxStoredFileBytes = 8 * 1024 * 1024;
const maxStoredFiles = 64;
const idlePollInterval = 20;

/** Exit code of a simulated crash: that of a process killed by SIGABRT. */
const crashCode = 134;

/** Creates a stand-in upstream; its server does not listen yet. */
export function createUpstream(options: UpstreamOptions): Upstream {
  const {timers, random} = options;
  const tally = createCounts();
  const reports = createReports(timers);
  const faults = createFaultQueue();
  const files = new Map<string, Buffer>();
  const started = timers.now();
  let overload = options.overload;
  let work = options.work;
  let lag = options.lag;
  let drainedAt: number | undefined;
  let overrides: {health?: number; load?: number} = {};
  const slots = createSlots(options.slots, () => overload);
  const health = createDelayedValue(200, () => lag, timers);
  const load = createDelayedValue(0, () => lag, timers);

  const remainingColdStart = () =>
    Math.max(0, 1 - (timers.now() - started) / (options.coldStart || 1));

  function state(): 'warming' | 'serving' | 'draining' {
    if (drainedAt !== undefined) return 'draining';
    return options.coldStart > 0 && remainingColdStart() > 0
      ? 'warming'
      : 'serving';
  }

  function setDrain(on: boolean): void {
    drainedAt = on ? (drainedAt ?? timers.now()) : undefined;
    health.set(on ? 503 : 200);
  }

  function recordLateWork(): void {
    if (drainedAt === undefined) return;
    tally.lateWork++;
    tally.latestWork = timers.now() - drainedAt;
  }

  function duration(): number {
    const cold =
      options.coldStart > 0 ? 1 + coldFactor * remainingColdStart() : 1;
    const slow = random.fraction() < (options.slow ?? 0) ? slowFactor : 1;
    return work * cold * slow * (0.5 + random.fraction());
  }

  /**
   * Takes the time of one piece of work. Resolves with false if the caller
   * disconnected or the deadline passed.
   */
  function simulateWork(
    response: ServerResponse,
    timeout: number,
  ): Promise<boolean> {
    const needed = duration();
    return new Promise(resolve => {
      const timer = timers.after(Math.min(needed, timeout), () => {
        response.off('close', cancel);
        if (timeout < needed) tally.expired++;
        resolve(timeout >= needed);
      });
      const cancel = () => {
        timer.cancel();
        tally.cancelled++;
        resolve(false);
      };
      if (response.destroyed) cancel();
      else response.once('close', cancel);
    });
  }

  function recordRun(request: Request): void {
    const name = header(request, 'idempotency-key') ?? tagOf(request);
    tally.runs[name] = (tally.runs[name] ?? 0) + 1;
  }

  function storeUpload(path: string, body: Body): void {
    tally.uploads[path] = body.digest;
    if (body.bytes.length > maxStoredFileBytes) return;
    files.set(path, body.bytes);
    if (files.size > maxStoredFiles) files.delete(files.keys().next().value!);
  }

  function createAnswerBody(
    request: Request,
    kind: WorkKind,
    body: Body,
  ): Buffer {
    const path = request.path;
    if (kind === 'download') return files.get(path) ?? Buffer.alloc(0);
    const fields = {
      instance: options.instance,
      path,
      tag: tagOf(request),
      received: body.digest,
      runs: tally.runs[header(request, 'idempotency-key') ?? ''],
      process: process.pid,
      reported: reports.current(),
      note: 'x'.repeat(300),
    };
    return Buffer.from(JSON.stringify(fields));
  }

  function isCrashing(request: Request, body: Body): boolean {
    const {crash} = options;
    if (crash === undefined) return false;
    return request.path.includes(crash) || body.bytes.includes(crash);
  }

  async function perform(
    request: Request,
    response: ServerResponse,
    kind: WorkKind,
    body: Body,
  ): Promise<void> {
    const fault = faults.take();
    if (fault === 'reset-unrun') return void request.socket.destroy();
    tally.begun++;
    recordLateWork();
    if (kind === 'once') recordRun(request);
    const timeout = Number(header(request, 'foxbarrow-timeout') ?? Infinity);
    if (!(await simulateWork(response, timeout))) {
      if (!response.destroyed) sendPlain(response, 504, 'the deadline passed');
      return;
    }
    if (isCrashing(request, body)) process.exit(crashCode);
    if (kind === 'upload') storeUpload(request.path, body);
    tally.finished++;
    if (random.fraction() < (options.failing ?? 0)) {
      return sendPlain(response, 500, 'this version fails');
    }
    sendAnswer(request, response, createAnswerBody(request, kind, body), fault);
  }

  async function serve(
    request: Request,
    response: ServerResponse,
    kind: WorkKind,
  ): Promise<void> {
    reports.arrived(tagOf(request));
    if (!(await slots.acquire())) {
      tally.shed++;
      request.resume();
      sendPlain(response, 503, 'all slots are taken');
      return;
    }
    load.set(slots.running);
    try {
      const body = await readBody(request);
      if (body.whole) await perform(request, response, kind, body);
      else tally.cutUploads++;
    } finally {
      slots.release();
      load.set(slots.running);
    }
  }

  /** Runs a command of a test; the query parameters are its arguments. */
  function command(request: Request, response: ServerResponse): void {
    const query = new URLSearchParams(request.search ?? '');
    const number = (name: string) => Number(query.get(name) ?? NaN);
    switch (request.params.name) {
      case 'drain':
        setDrain(true);
        break;
      case 'undrain':
        setDrain(false);
        break;
      case 'fault': {
        const kind = query.get('kind') as FaultKind;
        if (!faultKinds.includes(kind)) {
          return sendPlain(response, 400, `kind: ${faultKinds.join(', ')}`);
        }
        faults.set(kind, number('count') || 1);
        break;
      }
      case 'lie':
        overrides = {
          ...(query.has('health') && {health: number('health')}),
          ...(query.has('load') && {load: number('load')}),
        };
        break;
      case 'set':
        if (query.has('work')) work = number('work');
        if (query.has('lag')) lag = number('lag');
        if (query.has('overload')) overload = query.get('overload') as Overload;
        break;
      case 'report':
        reports.change(query.get('limit'), query.get('leaving'));
        break;
      default:
        return sendPlain(
          response,
          404,
          'drain, undrain, fault, lie, set or report',
        );
    }
    sendPlain(response, 200, 'done');
  }

  function counts(): Counts {
    return {...tally, greatestConcurrency: slots.maxRunning};
  }

  const app = polka({server: createServer()});
  for (const route of serviceShapes[options.service].routes) {
    app.add(
      route.method,
      route.pattern,
      (request: IncomingMessage, response: ServerResponse) =>
        void serve(request as Request, response, route.kind),
    );
  }
  app.get('/health', (_: IncomingMessage, response: ServerResponse) =>
    sendPlain(response, overrides.health ?? health.get(), 'health'),
  );
  app.get('/load', (_: IncomingMessage, response: ServerResponse) =>
    sendJson(response, {
      running: overrides.load ?? load.get(),
      slots: options.slots,
    }),
  );
  app.get('/counts', (_: IncomingMessage, response: ServerResponse) =>
    sendJson(response, counts()),
  );
  app.get('/reports', (_: IncomingMessage, response: ServerResponse) =>
    sendJson(response, reports.record()),
  );
  app.post(
    '/control/:name',
    (request: IncomingMessage, response: ServerResponse) =>
      command(request as Request, response),
  );
  const server = app.server!;
  server.on('request', (request, response) => {
    reports.addTo(response);
    app.handler(request as Request, response);
  });
  let openConnections = 0;
  server.on('connection', socket => {
    openConnections++;
    tally.greatestConnections = Math.max(
      tally.greatestConnections,
      openConnections,
    );
    socket.on('close', () => openConnections--);
    socket.on('error', () => socket.destroy());
    if (openConnections > options.connections) socket.destroy();
  });
  server.keepAliveTimeout = 60_000;
  server.requestTimeout = 0;

  return {
    server,
    state,
    drain: () => setDrain(true),
    counts,
    async idle() {
      while (slots.running + slots.waiting > 0) {
        await new Promise<void>(done => timers.after(idlePollInterval, done));
      }
    },
  };
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function tagOf(request: IncomingMessage): string {
  return header(request, tagHeader) ?? '';
}

function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Reads a body; it is not `whole` if the connection closed early. */
function readBody(request: IncomingMessage): Promise<Body> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const finish = (whole: boolean) => {
      const bytes = Buffer.concat(chunks);
      resolve({whole, digest: digestOf(bytes), bytes});
    };
    request.on('data', chunk => chunks.push(chunk));
    request.once('end', () => finish(true));
    request.once('close', () => finish(request.complete));
    request.once('error', () => finish(false));
  });
}

function sendAnswer(
  request: Request,
  response: ServerResponse,
  body: Buffer,
  fault: FaultKind | undefined,
): void {
  const headers = {
    'content-type': 'application/octet-stream',
    [tagHeader]: tagOf(request),
    [digestHeader]: digestOf(body),
  };
  if (fault !== undefined) return sendFaulty(response, headers, body, fault);
  response.writeHead(200, {...headers, 'content-length': body.length});
  response.end(body);
}

function sendPlain(response: ServerResponse, status: number, text: string) {
  response.writeHead(status, {'content-type': 'text/plain'});
  response.end(`${text}\n`);
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
