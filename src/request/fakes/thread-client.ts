/**
 * A client in a thread of its own. It sends requests while the event loop of the
 * test is blocked, as it is in a process that gets no processor time.
 */
import {Worker} from 'node:worker_threads';
import {parseAddress} from '../../link/address.js';
import type {Address} from '../../link/link.js';

/** A command to the thread. */
export type ThreadCommand =
  | {readonly kind: 'open'}
  | {
      readonly kind: 'send';
      readonly text: string;
      readonly connections: readonly number[];
      /** How many new connections are opened for it. */
      readonly opened: number;
    };

/** What the thread reports about a connection. */
export type ThreadReport =
  | {readonly kind: 'connected'; readonly connection: number}
  | {
      readonly kind: 'received' | 'closed';
      readonly connection: number;
      /** All that was received so far. */
      readonly text: string;
    };

/** A client in a thread of its own. */
export interface ThreadClient {
  /** Opens a connection; resolves with its number once it is open. */
  open(): Promise<number>;
  /**
   * Sends a text on open connections and on new ones, and blocks the loop of
   * this thread until the system has taken all of it. Returns all of them.
   */
  sendWhileBlocked(
    text: string,
    to: {connections?: readonly number[]; opened?: number},
  ): number[];
  /** Resolves with what a connection has received, once that matches. */
  received(connection: number, pattern: RegExp): Promise<string>;
  /** Resolves with what a connection had received when it was closed. */
  closed(connection: number): Promise<string>;
  stop(): Promise<void>;
}

/** Milliseconds after which a thread that does not answer fails the test. */
const threadTimeout = 20_000;

/** Starts a client of the server at `address`. */
export function createThreadClient(address: Address): ThreadClient {
  const signal = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(
    new URL('thread-client-worker.js', import.meta.url),
    {
      workerData: {...parseAddress(address), signal},
    },
  );
  const reports: ThreadReport[] = [];
  const observers = new Set<() => void>();
  let opened = 0;

  worker.on('message', (report: ThreadReport) => {
    reports.push(report);
    for (const observe of [...observers]) observe();
  });

  function command(message: ThreadCommand): void {
    worker.postMessage(message);
  }

  function find<T>(
    search: (report: ThreadReport) => T | undefined,
  ): Promise<T> {
    return new Promise(resolve => {
      const observe = () => {
        for (const report of reports) {
          const found = search(report);
          if (found === undefined) continue;
          observers.delete(observe);
          return resolve(found);
        }
      };
      observers.add(observe);
      observe();
    });
  }

  return {
    open: () => {
      const connection = opened++;
      command({kind: 'open'});
      return find(report =>
        report.kind === 'connected' && report.connection === connection
          ? connection
          : undefined,
      );
    },
    sendWhileBlocked: (text, {connections = [], opened: count = 0}) => {
      const before = Atomics.load(signal, 0);
      command({kind: 'send', text, connections, opened: count});
      if (Atomics.wait(signal, 0, before, threadTimeout) === 'timed-out')
        throw new Error('the client thread did not send');
      const added = Array.from({length: count}, () => opened++);
      return [...connections, ...added];
    },
    received: (connection, pattern) =>
      find(report =>
        report.kind !== 'connected' &&
        report.connection === connection &&
        pattern.test(report.text)
          ? report.text
          : undefined,
      ),
    closed: connection =>
      find(report =>
        report.kind === 'closed' && report.connection === connection
          ? report.text
          : undefined,
      ),
    stop: async () => void (await worker.terminate()),
  };
}
