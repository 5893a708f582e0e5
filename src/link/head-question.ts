/** Asks another process by HTTP for an answer of which only the head counts. */
import {request} from 'node:http';
import {createConnection} from 'node:net';
import type {Timers} from '../time/timers.js';
import {parseAddress} from './address.js';
import type {Address} from './link.js';

/** A `GET` request on a connection of its own. */
export interface HeadQuestion {
  readonly address: Address;
  readonly path: string;
  /** Milliseconds from the connection attempt to the end of the head. */
  readonly timeout: number;
  readonly timers: Timers;
}

/** The head of the final answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly headers: string[];
}

/**
 * Maximum number of bytes before the end of the head, interim answers included;
 * beyond it at most one more read of the socket, 64 KiB, is taken.
 */
const answerLimit = 16 * 1024;

/**
 * Resolves with the head as soon as it is complete and closes the connection, so
 * that no later byte is read. Rejects if there is none in time or within the limit.
 */
export function askForHead(question: HeadQuestion): Promise<AnswerHead> {
  const {address, path, timeout, timers} = question;
  return new Promise((resolve, reject) => {
    const asked = request({
      ...parseAddress(address),
      path,
      maxHeaderSize: answerLimit,
      createConnection: () => createConnection(parseAddress(address)),
    });
    const deadline = timers.after(timeout, () =>
      asked.destroy(new Error(`no answer in ${timeout} ms`)),
    );
    asked.on('response', ({statusCode: status = 0, rawHeaders: headers}) => {
      resolve({status, headers});
      asked.destroy();
    });
    // The parser of the request reads each chunk before this observer.
    asked.on('socket', socket =>
      socket.on('data', () => {
        if (socket.bytesRead > answerLimit)
          asked.destroy(new Error(`no head in ${answerLimit} bytes`));
      }),
    );
    asked.on('error', reject);
    asked.on('close', () => {
      deadline.cancel();
      reject(new Error('the connection was closed without an answer'));
    });
    asked.end();
  });
}
