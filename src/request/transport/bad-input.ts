/**
 * Refuses input that the parser of Node.js rejects. The refusal is sent after
 * the answers to all requests that came before it on the connection: a caller
 * takes what it receives first for the answer to its first request, and a
 * refusal would tell it that a request that runs was not run.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {requestCodes} from '../messages/codes.js';
import type {Refusal} from '../messages/call.js';
import {createRefusal} from '../messages/refusal.js';
import {formatRefusal} from './refusal-answer.js';

/** Refuses bad input on the connections of one listener. */
export interface BadInput {
  /**
   * Takes note of a request; its answer goes before any later refusal. False if
   * the input of its connection was refused, so that it must not be handled: its
   * caller may take the refusal for the answer to it.
   */
  track(request: IncomingMessage, response: ServerResponse): boolean;
  /** Refuses what the parser rejected on a connection. */
  refuse(error: Error, socket: Socket): void;
}

const bodyFaults = new WeakMap<IncomingMessage, AbortController>();

function faultOf(message: IncomingMessage): AbortController {
  let fault = bodyFaults.get(message);
  if (fault === undefined) {
    fault = new AbortController();
    bodyFaults.set(message, fault);
  }
  return fault;
}

/**
 * A signal that is aborted when the parser rejects the rest of a body. The
 * stream of the body reports nothing until the connection closes.
 */
export function bodyFault(message: IncomingMessage): AbortSignal {
  return faultOf(message).signal;
}

interface Connection {
  /** Answers that are not complete yet. */
  readonly pending: Set<ServerResponse>;
  /** The last request whose head was complete. */
  last: IncomingMessage | undefined;
  /** Why the parser rejected the input; undefined while it accepts it. */
  error: Error | undefined;
}

/** Creates the refusals of one listener. */
export function createBadInput(): BadInput {
  const connections = new WeakMap<Socket, Connection>();

  function connectionOf(socket: Socket): Connection {
    let connection = connections.get(socket);
    if (connection === undefined) {
      connection = {pending: new Set(), last: undefined, error: undefined};
      connections.set(socket, connection);
    }
    return connection;
  }

  return {
    track: (request, response) => {
      const {socket} = request;
      const connection = connectionOf(socket);
      if (connection.error !== undefined) return false;
      const {pending} = connection;
      connection.last = request;
      pending.add(response);
      response.once('close', () => {
        pending.delete(response);
        const {error} = connection;
        if (error !== undefined && pending.size === 0) end(connection, socket);
      });
      return true;
    },
    refuse: (error, socket) => {
      const connection = connectionOf(socket);
      connection.error ??= error;
      const {pending, last} = connection;
      // A caller that closes its half of the connection counts as disconnected.
      const hasLeft = socket.destroyed || socket.readableEnded;
      if (pending.size === 0) end(connection, socket);
      else if (hasLeft) socket.end();
      else if (!last!.complete) faultOf(last!).abort(error);
    },
  };
}

/** Ends a connection after the answers to all of its requests. */
function end({last, error}: Connection, socket: Socket): void {
  // What was rejected belongs to the body of a request that was answered. A
  // refusal would be one answer too many.
  if (last?.complete === false) socket.end();
  else answer(error!, socket);
}

function answer(error: Error, socket: Socket): void {
  if (socket.destroyed || !socket.writable) {
    socket.destroy();
    return;
  }
  const {status, headers, body} = formatRefusal(toBadInputRefusal(error));
  const lines = [
    `HTTP/1.1 ${status} Refused`,
    'connection: close',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}

function toBadInputRefusal(error: NodeJS.ErrnoException): Refusal {
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return createRefusal(requestCodes.headersTooLarge);
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return createRefusal(requestCodes.headSlow);
  }
  return createRefusal(requestCodes.badRequest, error.message);
}
