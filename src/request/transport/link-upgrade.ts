/** Opens the connection of a framed link by an HTTP upgrade at the gate. */
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
  /** Longest wait for the connection. */
  readonly connectTimeout: number;
  readonly timers: Timers;
}

/**
 * Milliseconds that a gate whose system took the connection may take to answer
 * the upgrade; its process may be starting.
 */
const upgradeTimeout = 1000;

/** Why there is no link. */
export type OpeningFailure =
  | {readonly kind: 'failed'; readonly error: Error}
  | {readonly kind: 'unsupported'};

/** What became of the opening of a link. */
export type OpeningResult =
  {readonly kind: 'open'; readonly socket: Socket} | OpeningFailure;

/** Connects and asks for a framed link; `done` is called once. */
export function upgradeToLink(
  options: LinkUpgradeOptions,
  done: (opening: OpeningResult) => void,
): Subscription {
  const {timers, connectTimeout} = options;
  const {host, port} = parseAddress(options.address);
  const socket = createConnection({host, port});
  let isDone = false;
  let limit = timers.after(connectTimeout, () =>
    socket.destroy(new Error(`no connection in ${connectTimeout} ms`)),
  );

  function finish(opening: OpeningResult): void {
    if (isDone) return;
    isDone = true;
    limit.cancel();
    if (opening.kind !== 'open') socket.destroy();
    done(opening);
  }

  socket.once('connect', () => {
    limit.cancel();
    limit = timers.after(upgradeTimeout, () =>
      socket.destroy(new Error(`no link in ${upgradeTimeout} ms`)),
    );
  });
  const asking = request({
    host,
    port,
    headers: {connection: 'upgrade', upgrade: framedProtocol},
    createConnection: () => socket,
  });
  asking.on('upgrade', (_answer: IncomingMessage, opened: Socket, head) => {
    if (head.length > 0) opened.unshift(head);
    finish({kind: 'open', socket: opened});
  });
  asking.on('response', () => finish({kind: 'unsupported'}));
  asking.on('error', error => finish({kind: 'failed', error}));
  asking.end();
  return {cancel: () => socket.destroy(new Error('the link was closed'))};
}
