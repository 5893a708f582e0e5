/** A stand-in for an instance of the platform: it runs requests, rejects some, and sends heartbeats. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer, request as httpRequest} from 'node:http';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const heartbeatInterval = 1500;

/**
 * Starts an instance. `decide(request)` returns `{reject: true}` or nothing;
 * `beforeAnswer(socket, id)` may write bytes where the next answer is expected.
 */
export function startInstance({
  machine,
  service,
  id = `i-${randomBytes(5).toString('hex')}`,
  slots = 8,
  hasBorn = true,
  work = () => 30,
  log,
  decide = () => undefined,
  beforeAnswer = () => {},
  afterAnswer = () => {},
  bodyOf = requestId => `result of ${requestId}\n`,
}) {
  const running = new Set();
  let sequence = 0;
  let state = 'ready';
  let isSilent = false;
  let hasEnded = false;
  /** Absent on deployments where no id is used again. */
  const born = hasBorn ? Date.now() : undefined;
  const [host, port] = machine.app.split(':');

  const server = createServer(
    {keepAliveTimeout: 10_000},
    (incoming, response) => {
      const socket = incoming.socket;
      const requestId = incoming.headers['foxbarrow-request-id'];
      const head = {
        'foxbarrow-instance-load': `${running.size},0,${slots}`,
        ...(requestId !== undefined && {'foxbarrow-request-id': requestId}),
      };
      const send = (status, extra, body) => {
        response.writeHead(status, {
          ...head,
          ...extra,
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
        afterAnswer(socket, {
          status,
          headers: {...head, ...extra},
          body,
          id: requestId,
        });
      };
      if (incoming.url === '/health') {
        return send(
          state === 'ready' ? 200 : 503,
          {'foxbarrow-instance-id': id},
          '',
        );
      }
      const expected = incoming.headers['foxbarrow-expected-instance'];
      if (expected !== undefined && expected !== id) {
        log('misdirected', {instance: id, request: requestId, expected});
        return send(421, {'foxbarrow-instance-id': id}, '');
      }
      const parts = [];
      incoming.on('data', part => parts.push(part));
      incoming.on('end', () => {
        const verdict = decide(incoming);
        if (verdict?.reject === true || running.size >= slots) {
          log('rejected', {instance: id, request: requestId});
          return send(503, {'foxbarrow-not-executed': '1'}, '');
        }
        beforeAnswer(socket, requestId);
        running.add(requestId);
        log('runs', {
          instance: id,
          request: requestId,
          method: incoming.method,
          path: incoming.url,
          caller: incoming.headers['foxbarrow-caller-service'],
          tenant: incoming.headers['foxbarrow-tenant-id'],
          bytes: Buffer.concat(parts).length,
        });
        setTimeout(() => {
          if (hasEnded) return;
          running.delete(requestId);
          log('ran', {instance: id, request: requestId});
          send(
            200,
            {'foxbarrow-response-signature': `${id}.${requestId}`},
            bodyOf(requestId),
          );
        }, work(incoming));
      });
    },
  );
  server.listen(Number(port), host);

  function call(method, body) {
    const text = JSON.stringify(body);
    return new Promise(resolve => {
      const [controlHost, controlPort] = machine.control.split(':');
      const outgoing = httpRequest(
        {
          host: controlHost,
          port: Number(controlPort),
          method,
          path: `/v1/instances/${id}`,
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          },
          timeout: 1000,
          agent: false,
        },
        incoming => {
          incoming.resume();
          incoming.on('end', () => resolve(incoming.statusCode));
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(undefined));
      outgoing.end(text);
    });
  }

  /** The next heartbeat; it is sent when the returned function is called. */
  function prepareHeartbeat() {
    sequence++;
    const body = {
      born,
      address: machine.app,
      info: {service, version: 'v1', zone: machine.zone, slots},
      status: {state, sequence, warmup_remaining_s: 0},
    };
    return () => call('PUT', body);
  }

  async function beat() {
    return isSilent ? undefined : prepareHeartbeat()();
  }

  const timer = setInterval(() => void beat(), heartbeatInterval);
  void beat();

  return {
    id,
    born,
    machine,
    service,
    running,
    server,
    beat,
    prepareHeartbeat,
    /** Sends a heartbeat that is not this instance's own under its id. */
    callAs: body => call('PUT', body),
    drain: () => {
      state = 'draining';
      return beat();
    },
    silence: () => {
      isSilent = true;
    },
    leave: () => {
      isSilent = true;
      return call('DELETE', {born});
    },
    stop: () => {
      hasEnded = true;
      clearInterval(timer);
      isSilent = true;
      server.close();
      server.closeAllConnections();
    },
  };
}
