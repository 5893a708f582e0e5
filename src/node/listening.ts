/** Whether the upstream's process is there, by a connection of its own. */
import {createConnection} from 'node:net';
import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';

/**
 * Resolves with false when a connection is refused. One that is not answered
 * within `timeout` milliseconds is a process that stands still, not an end.
 */
export function isListening(
  address: Address,
  timeout: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createConnection(parseAddress(address));
    const end = (listens: boolean) => {
      socket.destroy();
      resolve(listens);
    };
    socket.setTimeout(timeout, () => end(true));
    socket.once('connect', () => end(true));
    socket.once('error', () => end(false));
  });
}
