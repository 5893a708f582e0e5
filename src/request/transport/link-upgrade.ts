/** Opens the connection of a framed link by an HTTP upgrade. */
import {request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {parseAddress} from '../../link/address.js';
import type {Address} from '../../link/link.js';
import type {Subscription, Timers} from '../../time/timers.js';
import {framedProtocol} from './frames.js';

/** Options of `upgradeToLink`; times in milliseconds. */
export interface LinkUpgradeOptions {
  readonly address: Address;
  /** Timeout for opening the connection. */
  readonly connectTimeout: number;
  readonly timers: Timers;
}

/**
 * Milliseconds within which a gate must answer the upgrade once the connection
 * is open. The gate's process may still be starting.
 */
const upgradeTimeout = 1000;

/** Why a link was not opened. */
export type OpeningFailure =
  | {readonly kind: 'failed'; readonly error: Error}
  | {readonly kind: 'unsupported'};

/** The result of opening a link. */
export type OpeningResult =
  {readonly kind: 'open'; readonly socket: Socket} | OpeningFailure;

/** Connects and requests the upgrade to a framed link; calls `done` once. */
export function upgradeToLink(
  options: LinkUpgradeOptions,
  done: (result: OpeningResult) => void,
): Subscription {
  const {timers, connectTimeout} = options;
  const {host, port} = parseAddress(options.address);
  const socket = createConnection({host, port});
  let isDone = false;
  let timeout = timers.after(connectTimeout, () =>
    socket.destroy(new Error(`no connection in ${connectTimeout} ms`)),
  );

  function finish(result: OpeningResult): void {
    if (isDone) return;
    isDone = true;
    timeout.cancel();
    if (result.kind !== 'open') socket.destroy();
    done(result);
  }

  socket.once('connect', () => {
    timeout.cancel();
    timeout = timers.after(upgradeTimeout, () =>
      socket.destroy(new Error(`no link in ${upgradeTimeout} ms`)),
    );
  });
  const upgradeRequest = request({
    host,
    port,
    headers: {connection: 'upgrade', upgrade: framedProtocol},
    createConnection: () => socket,
  });
  upgradeRequest.on(
    'upgrade',
    (_answer: IncomingMessage, opened: Socket, head) => {
      if (head.length > 0) opened.unshift(head);
      finish({kind: 'open', socket: opened});
    },
  );
  upgradeRequest.on('response', () => finish({kind: 'unsupported'}));
  upgradeRequest.on('error', error => finish({kind: 'failed', error}));
  upgradeRequest.end();
  return {cancel: () => socket.destroy(new Error('the link was closed'))};
}
