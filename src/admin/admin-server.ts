import {createServer} from 'node:http';
import type {RequestListener, ServerResponse} from 'node:http';
import polka from 'polka';
import type {Registry} from 'prom-client';
import {answerJson, openServer} from '../link/http-server.js';
import type {Address} from '../link/link.js';
import {commonCodes} from '../result/codes.js';
import type {Result} from '../result/failure.js';
import {failure} from '../result/failure.js';
import {adminCodes} from './codes.js';
import {createGuard} from './token.js';

/** What a process says of itself. */
export interface Health {
  /** Why it can't take work now; empty when it is ready. */
  notReadyReasons(): readonly string[];
}

/** A change of state that the listener offers; `argument` follows its name. */
export type Action = (argument: string | undefined) => Promise<Result<unknown>>;

/** What `createAdminServer` needs. */
export interface AdminServerOptions {
  /** Bound apart from callers. */
  readonly address: Address;
  /** Secret for changes of state; absent to refuse them all. */
  readonly token?: string | undefined;
  readonly registry: Registry;
  readonly health: Health;
  /** Milliseconds since the epoch. */
  readonly wall: () => number;
  /** By name: `POST /actions/NAME` or `POST /actions/NAME/ARGUMENT`. */
  readonly actions?: Readonly<Record<string, Action>> | undefined;
}

/** One metric as `GET /metrics/NAME` gives it; no values before its first report. */
export interface MetricReply {
  /** Milliseconds since the epoch at start: tells a reader that counts began anew. */
  readonly started: number;
  readonly values: ReadonlyArray<{
    readonly labels: Readonly<Partial<Record<string, string | number>>>;
    readonly value: number;
  }>;
}

/** The running admin listener. */
export interface AdminServer {
  /** The address it listens on, with the port that was given to it. */
  readonly address: Address;
  close(): Promise<void>;
}

/**
 * Creates the admin listener: `GET /metrics` for Prometheus, `GET
 * /metrics/NAME` for one metric as JSON, `GET /health` (200 while the loop
 * runs), `GET /ready` (200 or 503 with the reasons) and the actions.
 */
export async function createAdminServer(
  options: AdminServerOptions,
): Promise<AdminServer> {
  const server = createServer({requestTimeout: 5_000, maxHeaderSize: 8_192});
  const app = polka({
    onNoMatch: (_request, response) => end(response, 404),
  });
  const guard = createGuard(options.token);

  // Before the routes, so that a wrong token doesn't learn which actions exist.
  app.use((request, response, next) => {
    if (isRead(request) || guard(request.headers.authorization)) next();
    else end(response as unknown as ServerResponse, 401);
  });
  addReads(app, options);
  addActions(app, options.actions ?? {});

  server.on('request', app.handler as RequestListener);
  return openServer(server, options.address);
}

function isRead(request: {method?: string | undefined}): boolean {
  return request.method === 'GET' || request.method === 'HEAD';
}

function addReads(app: polka.Polka, options: AdminServerOptions): void {
  const started = options.wall();
  const {registry, health} = options;
  app.get('/metrics', async (_request, response) => {
    const text = await registry.metrics();
    response.setHeader('content-type', registry.contentType);
    response.end(text);
  });
  app.get('/metrics/:name', async (request, response) => {
    const {name} = request.params as {name: string};
    const metric = registry.getSingleMetric(name);
    const values = metric === undefined ? [] : (await metric.get()).values;
    const reply: MetricReply = {started, values};
    answerJson(response as unknown as ServerResponse, 200, reply);
  });
  app.get('/health', (_request, response) => {
    answerJson(response as unknown as ServerResponse, 200, {healthy: true});
  });
  app.get('/ready', (_request, response) => {
    const reasons = health.notReadyReasons();
    const ready = reasons.length === 0;
    answerJson(response as unknown as ServerResponse, ready ? 200 : 503, {
      ready,
      reasons,
    });
  });
}

function addActions(
  app: polka.Polka,
  actions: Readonly<Record<string, Action>>,
): void {
  app.post('/actions/:name/:argument?', async (request, response) => {
    const {name, argument} = request.params as {
      name: string;
      argument?: string;
    };
    const action = Object.hasOwn(actions, name) ? actions[name] : undefined;
    const result = await run(name, action, argument);
    answer(response as unknown as ServerResponse, result);
  });
}

async function run(
  name: string,
  action: Action | undefined,
  argument: string | undefined,
): Promise<Result<unknown>> {
  if (action === undefined) {
    return failure(adminCodes.actionUnknown, `there is no action ${name}`);
  }
  try {
    return await action(argument);
  } catch (error) {
    return failure(commonCodes.unreachable, (error as Error).message);
  }
}

function answer(response: ServerResponse, result: Result<unknown>): void {
  const code = result.ok ? commonCodes.ok : result.code;
  const message = result.ok ? 'done' : result.message;
  answerJson(response, code.status, {
    code: code.number,
    name: code.name,
    effect: code.effect,
    message,
  });
}

/** An answer without a body, the same for all who may not know more. */
function end(
  response: Pick<ServerResponse, 'writeHead' | 'end'>,
  status: number,
): void {
  response.writeHead(status, {'content-length': 0});
  response.end();
}
