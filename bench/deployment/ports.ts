/** Reserves ports for the processes of a test, separate from other tests. */
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/** A range of ports that no other test uses. */
export interface PortRange {
  /** Returns the next unused address of the range. */
  nextAddress(): string;
  /** Releases the range. */
  release(): void;
}

const host = '127.0.0.1';
const firstPort = 10_000;
const rangeLength = 100;
const rangeCount = 100;

/**
 * Reserves a range below the system's ephemeral ports, so that no outgoing
 * connection occupies one of them. A server on the first port of the range
 * serves as its lock.
 */
export async function reservePorts(): Promise<PortRange> {
  for (let range = 0; range < rangeCount; range++) {
    const start = firstPort + range * rangeLength;
    const lock = await tryListen(start);
    if (lock === undefined) continue;
    if (!(await areFree(start + 1, start + rangeLength))) {
      lock.close();
      continue;
    }
    let next = start + 1;
    return {
      nextAddress: () => `${host}:${next++}`,
      release: () => void lock.close(),
    };
  }
  throw new Error(
    'no range of ports is free; stop the processes of earlier test runs',
  );
}

/** Whether no process, such as one of an earlier run, listens in a range. */
async function areFree(from: number, to: number): Promise<boolean> {
  const attempts = [];
  for (let port = from; port < to; port++) attempts.push(tryListen(port));
  const servers = await Promise.all(attempts);
  for (const server of servers) server?.close();
  return servers.every(server => server !== undefined);
}

function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}
