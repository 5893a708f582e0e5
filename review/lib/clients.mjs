/** Stand-ins for clients and for the operator, and the record of what happened. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';

/** Creates a record of events with their times in seconds. */
export function createRecord(file) {
  const start = performance.now();
  const lines = [];
  const events = [];
  return {
    events,
    log(what, facts = {}) {
      const at = (performance.now() - start) / 1000;
      events.push({at, what, ...facts});
      lines.push(`${at.toFixed(3)} ${what} ${JSON.stringify(facts)}`);
    },
    now: () => (performance.now() - start) / 1000,
    write: summary =>
      writeFileSync(file, `${summary.join('\n')}\n\n${lines.join('\n')}\n`),
  };
}

/** Sends one request; resolves when its answer is complete or its connection has ended. */
export function send({
  address,
  host,
  path,
  method = 'GET',
  body,
  deadline,
  headers = {},
  agent = false,
  id = randomBytes(8).toString('hex'),
  log = () => {},
}) {
  const [ip, port] = address.split(':');
  return new Promise(resolve => {
    let isDone = false;
    const finish = facts => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      log('answered', {request: id, ...facts});
      resolve({id, ...facts});
    };
    const outgoing = httpRequest(
      {
        host: ip,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          host,
          'foxbarrow-request-id': id,
          'foxbarrow-deadline-ms': String(deadline),
          ...headers,
        },
      },
      incoming => {
        const parts = [];
        incoming.on('data', part => parts.push(part));
        incoming.on('error', () => {});
        incoming.on('close', () =>
          finish({
            status: incoming.statusCode,
            signature: incoming.headers['foxbarrow-response-signature'],
            echo: incoming.headers['foxbarrow-request-id'],
            body: Buffer.concat(parts).toString('latin1').slice(0, 200),
            whole: incoming.complete,
          }),
        );
      },
    );
    outgoing.on('error', error => finish({error: error.code ?? error.message}));
    const timer = setTimeout(() => {
      finish({error: 'client deadline'});
      outgoing.destroy();
    }, deadline + 200);
    log('sent', {request: id, method, path, node: address});
    outgoing.end(body);
  });
}

/** Creates an agent that keeps connections open. */
export const keepAliveAgent = () =>
  new Agent({keepAlive: true, maxSockets: 200});

/** Calls a control process, and follows a redirect twice. */
export async function operator({
  addresses,
  method,
  path = '/v1/config',
  body,
  log,
  timeout = 1000,
}) {
  let address = addresses[Math.floor(Math.random() * addresses.length)];
  for (let hops = 0; hops <= 2; hops++) {
    const reply = await new Promise(resolve => {
      const [ip, port] = address.split(':');
      const outgoing = httpRequest(
        {
          host: ip,
          port: Number(port),
          method,
          path,
          agent: false,
          timeout,
          headers: {'content-type': 'application/json'},
        },
        incoming => {
          const parts = [];
          incoming.on('data', part => parts.push(part));
          incoming.on('end', () =>
            resolve({
              status: incoming.statusCode,
              location: incoming.headers.location,
              text: Buffer.concat(parts).toString(),
            }),
          );
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve({status: undefined}));
      outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
    log?.('operator', {
      method,
      path,
      address,
      status: reply.status,
      version: body?.version,
    });
    if (reply.status !== 307) return reply;
    address = new URL(reply.location).host;
  }
  return {status: 307};
}

/** Sends a configuration until it is accepted. */
export async function putConfig({addresses, body, log, within = 30_000}) {
  const end = performance.now() + within;
  while (performance.now() < end) {
    const reply = await operator({addresses, method: 'PUT', body, log});
    if (reply.status === 200) return true;
    await sleep(200);
  }
  return false;
}

/** Waits until all nodes are ready. */
export async function untilReady(nodes, within = 30_000) {
  const end = performance.now() + within;
  for (const node of nodes) {
    for (;;) {
      const [ip, port] = node.ready.split(':');
      const status = await new Promise(resolve => {
        const outgoing = httpRequest(
          {
            host: ip,
            port: Number(port),
            path: '/ready',
            agent: false,
            timeout: 500,
          },
          incoming => {
            incoming.resume();
            resolve(incoming.statusCode);
          },
        );
        outgoing.on('timeout', () => outgoing.destroy());
        outgoing.on('error', () => resolve(undefined));
        outgoing.end();
      });
      if (status === 200) break;
      if (performance.now() > end) return false;
      await sleep(100);
    }
  }
  return true;
}

/** A configuration in the form of the page. */
export function configuration({version, base, routes, services, extra = {}}) {
  return {
    version,
    base_version: base,
    routes,
    services: Object.fromEntries(
      services.map(name => [
        name,
        {
          health_check_path: '/health',
          max_connections: 130,
          protocol: 'h1',
          tls: false,
        },
      ]),
    ),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    ...extra,
  };
}

export function route(
  service,
  {kind = 'safe', path, timeout = 2, latency = 0.5, priority = 1, attempts = 2},
) {
  return {
    hostname: 'ficu95.example',
    path_prefix: path,
    kind,
    timeout_s: timeout,
    target_latency_s: latency,
    priority,
    service,
    max_attempts: attempts,
  };
}
