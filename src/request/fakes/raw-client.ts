import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {parseAddress} from '../../link/address.js';

/** The data that a raw connection received before it closed. */
export interface RawAnswer {
  readonly text: string;
  /** `end` for an orderly close, `reset` for an error. */
  readonly close: 'end' | 'reset';
}

/** Opens a connection and sends `text` unchanged. */
export function openRaw(address: string, text: string): Socket {
  const {host, port} = parseAddress(address);
  const socket = connect(port, host);
  socket.on('error', () => {});
  socket.write(text);
  return socket;
}

/** Sends `text` and reads until the other side closes. */
export function sendRaw(address: string, text: string): Promise<RawAnswer> {
  const socket = openRaw(address, text);
  return readAll(socket);
}

/** Reads until the other side closes. */
export function readAll(socket: Socket): Promise<RawAnswer> {
  return new Promise(resolve => {
    let received = '';
    let close: RawAnswer['close'] = 'end';
    socket.on('data', chunk => (received += chunk.toString('latin1')));
    socket.on('error', () => (close = 'reset'));
    socket.on('close', () => resolve({text: received, close}));
  });
}
