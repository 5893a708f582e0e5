/** Checks with a separate connection whether the upstream's process is running. */
import {createConnection} from 'node:net';
import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';

/**
 * Resolves with false when the connection is refused. A connection attempt that
 * is not answered within `timeout` milliseconds resolves with true: the process is
 * stalled, but it has not ended.
 */
export function isListening(
  address: Address,
  timeout: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createConnection(parseAddress(address));
    const finish = (listens: boolean) => {
      socket.destroy();
      resolve(listens);
    };
    socket.setTimeout(timeout, () => finish(true));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
