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

/** Readiness of a process. */
export interface Health {
  /**
   * Returns the reasons why the process can't take work; empty if it is ready.
   */
  notReady(): readonly string[];
}

/**
 * A state-changing action of the listener; `argument` is the path segment after
 * its name.
 */
export type Action = (argument: string | undefined) => Promise<Result<unknown>>;

/** Options of createAdminServer. */
export interface AdminServerOptions {
  /** Address to listen on, separate from that of callers. */
  readonly address: Address;
  /** Secret token required for actions; absent to refuse all actions. */
  readonly token?: string | undefined;
  readonly registry: Registry;
  readonly health: Health;
  /** Returns the wall-clock time, in milliseconds since the epoch. */
  readonly wall: () => number;
  /** Actions by name: `POST /actions/NAME` or `POST /actions/NAME/ARGUMENT`. */
  readonly actions?: Readonly<Record<string, Action>> | undefined;
}

/**
 * The answer to `GET /metrics/NAME`; without values until the metric is first
 * reported.
 */
export interface MetricReply {
  /**
   * Start time, in milliseconds since the epoch; it shows readers that the
   * counters were reset.
   */
  readonly started: number;
  readonly values: ReadonlyArray<{
    readonly labels: Readonly<Partial<Record<string, string | number>>>;
    readonly value: number;
  }>;
}

/** The running admin listener. */
export interface AdminServer {
  /** The address that the server listens on, with the assigned port. */
  readonly address: Address;
  close(): Promise<void>;
}

/**
 * Creates the admin listener: `GET /metrics` for Prometheus, `GET
 * /metrics/NAME` for one metric as JSON, `GET /health` (200 while the
 * event loop runs), `GET /ready` (200 or 503 with the reasons) and the actions.
 */
export async function createAdminServer(
  options: AdminServerOptions,
): Promise<AdminServer> {
  const server = createServer({requestTimeout: 5_000, maxHeaderSize: 8_192});
  const app = polka({
    onNoMatch: (_request, response) => sendEmpty(response, 404),
  });
  const guard = createGuard(options.token);

  // Checked before the routes, so that requests with a wrong token do not
  // reveal which actions exist.
  app.use((request, response, next) => {
    if (isReadOnly(request) || guard(request.headers.authorization)) next();
    else sendEmpty(response as unknown as ServerResponse, 401);
  });
  addReadRoutes(app, options);
  addActionRoutes(app, options.actions ?? {});

  server.on('request', app.handler as RequestListener);
  return openServer(server, options.address);
}

function isReadOnly(request: {method?: string | undefined}): boolean {
  return request.method === 'GET' || request.method === 'HEAD';
}

function addReadRoutes(app: polka.Polka, options: AdminServerOptions): void {
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
    const reasons = health.notReady();
    const ready = reasons.length === 0;
    answerJson(response as unknown as ServerResponse, ready ? 200 : 503, {
      ready,
      reasons,
    });
  });
}

function addActionRoutes(
  app: polka.Polka,
  actions: Readonly<Record<string, Action>>,
): void {
  app.post('/actions/:name/:argument?', async (request, response) => {
    const {name, argument} = request.params as {
      name: string;
      argument?: string;
    };
    const action = Object.hasOwn(actions, name) ? actions[name] : undefined;
    const result = await runAction(name, action, argument);
    sendResult(response as unknown as ServerResponse, result);
  });
}

async function runAction(
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

function sendResult(response: ServerResponse, result: Result<unknown>): void {
  const code = result.ok ? commonCodes.ok : result.code;
  const message = result.ok ? 'done' : result.message;
  answerJson(response, code.status, {
    code: code.number,
    name: code.name,
    effect: code.effect,
    message,
  });
}

/**
 * Sends an answer without a body, so that unauthorized requests learn nothing
 * more.
 */
function sendEmpty(
  response: Pick<ServerResponse, 'writeHead' | 'end'>,
  status: number,
): void {
  response.writeHead(status, {'content-length': 0});
  response.end();
}
