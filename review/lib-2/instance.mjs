/** A stand-in for an application instance, on raw sockets so that it can misbehave. */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {createServer} from 'node:net';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as pause} from 'node:timers/promises';

const {AbortSignal, fetch} = globalThis;

const soundBehaviour = {};

/** Reads one request from a socket's bytes; undefined while it is incomplete. */
function parseHead(buffer) {
  const end = buffer.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [first, ...lines] = buffer.toString('latin1', 0, end).split('\r\n');
  const [method, path] = first.split(' ');
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(':');
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
  }
  return {method, path, headers, size: end + 4};
}

/** Reads a body from `buffer`; undefined while it is incomplete. */
function parseBody({headers}, buffer) {
  if (headers['transfer-encoding'] === undefined) {
    const length = Number(headers['content-length'] ?? 0);
    if (buffer.length < length) return undefined;
    return {body: buffer.subarray(0, length), size: length};
  }
  const parts = [];
  let at = 0;
  for (;;) {
    const end = buffer.indexOf('\r\n', at);
    if (end < 0) return undefined;
    const length = parseInt(buffer.toString('latin1', at, end), 16);
    const next = end + 2 + length + 2;
    if (buffer.length < next) return undefined;
    if (length === 0) return {body: Buffer.concat(parts), size: next};
    parts.push(buffer.subarray(end + 2, end + 2 + length));
    at = next;
  }
}

export function digestOf(body) {
  return createHash('sha1').update(body).digest('base64');
}

/**
 * Starts an instance beside a node. `behaviour(request)` may return what it does
 * instead of a sound answer; see `act`.
 */
export function startInstance({
  machine,
  service = machine.service,
  address = machine.app,
  slots = 8,
  work = () => 20,
  bodyOf = id => `result of ${id}\n`,
  behaviour = () => soundBehaviour,
  id = `i-${randomBytes(4).toString('hex')}`,
  heartbeat = 1500,
  born,
  record,
}) {
  const [host, port] = address.split(':');
  const sockets = new Set();
  let running = 0;
  let isEnded = false;
  let state = 'ready';
  let sequence = 0;

  function headOf(status, requestId, more = {}) {
    const headers = {
      'Foxbarrow-Request-Id': requestId,
      'Foxbarrow-Instance-Load': `${running},0,${slots}`,
      ...more,
    };
    const lines = Object.entries(headers)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} Text\r\n${lines.join('')}\r\n`;
  }

  /** Writes behind what a misbehaving answer still has to write. */
  function write(socket, text) {
    socket.chain = (socket.chain ?? Promise.resolve()).then(() => {
      if (!socket.destroyed) socket.write(text);
    });
    return socket.chain;
  }

  async function act(socket, request, receiveBody) {
    const {headers, method, path} = request;
    if (path === '/health') {
      await receiveBody();
      const status = state === 'ready' ? 200 : 503;
      await write(
        socket,
        `HTTP/1.1 ${status} Text\r\nFoxbarrow-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const requestId = headers['foxbarrow-request-id'];
    const expected = headers['foxbarrow-expected-instance'];
    if (expected !== undefined && expected !== id) {
      await receiveBody();
      record.count('421');
      record.event('misdirected', {request: requestId, expected, instance: id});
      await write(socket, headOf(421, requestId, {'Content-Length': 0}));
      return;
    }
    const plan = behaviour({requestId, request, id, running}) ?? soundBehaviour;
    if (plan.reject === 'early') {
      await write(socket, reject(requestId));
      await receiveBody();
      await plan.after?.(socket, reject(requestId));
      return;
    }
    const body = await receiveBody();
    if (body === undefined || isEnded) return;
    if (plan.reject !== undefined || running >= slots + 32) {
      record.count('rejected');
      await write(socket, reject(requestId));
      await plan.after?.(socket, reject(requestId));
      return;
    }
    running++;
    const signature = `${id}.${requestId}`;
    const result = plan.body ?? bodyOf(requestId, path);
    record.ran({
      id: requestId,
      instance: id,
      service,
      method,
      path,
      caller: headers['foxbarrow-caller-service'],
      deadline: headers['foxbarrow-deadline-ms'],
      tenant: headers['foxbarrow-tenant-id'],
      authorization: headers.authorization,
      digest: digestOf(body),
      signature,
      body: result,
    });
    record.event('runs', {request: requestId, instance: id});
    await pause(plan.work ?? work(path));
    running--;
    if (isEnded || socket.destroyed) return;
    const status = plan.status ?? 200;
    const send = plan.send ?? sendWhole;
    await send(socket, {status, requestId, signature, result, headOf});
  }

  function reject(requestId) {
    return headOf(503, requestId, {
      'Foxbarrow-Not-Executed': '1',
      'Content-Length': 0,
    });
  }

  function sendWhole(socket, {status, requestId, signature, result}) {
    return write(
      socket,
      headOf(status, requestId, {
        'Foxbarrow-Response-Signature': signature,
        'Content-Length': Buffer.byteLength(result),
      }) + result,
    );
  }

  async function serve(socket) {
    sockets.add(socket);
    let buffer = Buffer.alloc(0);
    let hasEnded = false;
    let wake = () => {};
    socket.on('data', chunk => {
      buffer = Buffer.concat([buffer, chunk]);
      wake();
    });
    const end = () => {
      hasEnded = true;
      sockets.delete(socket);
      wake();
    };
    socket.on('end', () => {
      end();
      socket.end();
    });
    socket.on('close', end);
    socket.on('error', () => socket.destroy());
    const more = () => new Promise(resolve => (wake = resolve));
    for (;;) {
      let request = parseHead(buffer);
      while (request === undefined && !hasEnded) {
        await more();
        request = parseHead(buffer);
      }
      if (request === undefined) return;
      buffer = buffer.subarray(request.size);
      let received;
      const receiveBody = async () => {
        if (received !== undefined) return received;
        let parsed = parseBody(request, buffer);
        while (parsed === undefined && !hasEnded) {
          await more();
          parsed = parseBody(request, buffer);
        }
        if (parsed === undefined) return undefined;
        buffer = buffer.subarray(parsed.size);
        received = parsed.body;
        return received;
      };
      await act(socket, request, receiveBody);
      await receiveBody();
    }
  }

  const server = createServer(socket => {
    socket.setNoDelay(true);
    void serve(socket);
  });
  server.listen(Number(port), host);

  function heartbeatBody() {
    return {
      ...(born !== undefined && {born}),
      address,
      info: {service, version: 'v1', zone: machine.zone, slots},
      status: {state, sequence: ++sequence, warmup_remaining_s: 0},
    };
  }

  /** Sends a heartbeat; resolves with the status of the answer. */
  async function put(body) {
    try {
      const answer = await fetch(
        `http://${machine.control}/v1/instances/${id}`,
        {
          method: 'PUT',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(1000),
        },
      );
      await answer.text();
      return answer.status;
    } catch {
      return undefined;
    }
  }

  const beat = () => put(heartbeatBody());

  const timer = setInterval(() => void beat(), heartbeat);
  void beat();

  return {
    id,
    machine,
    beat,
    put,
    heartbeatBody,
    get running() {
      return running;
    },
    setState(next) {
      state = next;
    },
    /** Says that it is gone; resolves with the status of the answer. */
    async leave() {
      try {
        const answer = await fetch(
          `http://${machine.control}/v1/instances/${id}`,
          {
            method: 'DELETE',
            headers: {'content-type': 'application/json'},
            body: JSON.stringify(born === undefined ? {} : {born}),
            signal: AbortSignal.timeout(1000),
          },
        );
        await answer.text();
        return answer.status;
      } catch {
        return undefined;
      }
    },
    /** Sends no more heartbeats. */
    silence() {
      clearInterval(timer);
    },
    /** Ends without a word, as in a crash. */
    crash() {
      isEnded = true;
      clearInterval(timer);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
