/** A client that sends single requests on raw sockets or kept connections. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request as startRequest} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {digestOf} from './instance.mjs';

export const createId = () => randomBytes(8).toString('hex');

export const createAgent = () => new Agent({keepAlive: true, maxSockets: 64});

/** Sends a request; resolves with its answer, or undefined if there is none. */
export function send({
  node,
  host,
  method,
  path,
  kind,
  services,
  body,
  parts,
  agent = false,
  deadline = 2000,
  leaveAfter,
  id = createId(),
  headers = {},
  record,
}) {
  const whole = parts === undefined ? (body ?? '') : Buffer.concat(parts);
  record.sent({
    id,
    method,
    path,
    kind,
    services,
    node: node.name,
    callerService: node.service,
    digest: digestOf(whole),
    deadline,
  });
  record.event('sent', {request: id, path, node: node.name});
  const outgoing = startRequest(`http://${node.outbound}${path}`, {
    method,
    agent,
    headers: {
      host,
      'foxbarrow-request-id': id,
      'foxbarrow-deadline-ms': String(deadline),
      ...(parts === undefined &&
        whole.length > 0 && {'content-length': String(whole.length)}),
      ...headers,
    },
  });
  return new Promise(resolve => {
    const timer = setTimeout(
      () => outgoing.destroy(new Error('left')),
      leaveAfter ?? deadline + 700,
    );
    function done(answer) {
      clearTimeout(timer);
      record.answered(id, answer);
      const {status, error} = answer;
      record.event('answered', {request: id, status, error});
      resolve(answer);
    }
    outgoing.on('response', incoming => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('error', () => {});
      incoming.on('close', () =>
        done({
          status: incoming.statusCode,
          signature: incoming.headers['foxbarrow-response-signature'],
          echo: incoming.headers['foxbarrow-request-id'],
          body: Buffer.concat(chunks).toString('latin1'),
          whole: incoming.complete,
        }),
      );
    });
    outgoing.on('error', error => {
      if (record.requests.get(id).answer === undefined)
        done({status: 0, error: error.code ?? error.message});
    });
    if (parts === undefined) outgoing.end(whole);
    else
      void (async () => {
        for (const part of parts) {
          outgoing.write(part);
          await new Promise(next => setTimeout(next, 2));
        }
        outgoing.end();
      })();
  });
}
