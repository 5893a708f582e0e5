/** Ports for processes of a test, apart from those of all other tests. */
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/** A range of ports that no other holder of a range uses. */
export interface PortRange {
  /** The next address of the range. */
  nextAddress(): string;
  /** Gives the range back. */
  release(): void;
}

const host = '127.0.0.1';
const firstPort = 10_000;
const rangeLength = 100;
const rangeCount = 100;

/**
 * Takes a range below the ports that the system gives to clients, so that no
 * outgoing connection sits on one of them. The first port of the range is held
 * open as its lock.
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
  throw new Error('no range of ports is free; end earlier test processes');
}

/** Whether nobody, such as a program left behind, listens in a range. */
async function areFree(from: number, to: number): Promise<boolean> {
  const tries = [];
  for (let port = from; port < to; port++) tries.push(tryListen(port));
  const servers = await Promise.all(tries);
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
