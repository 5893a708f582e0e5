import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Network} from '../../src/link/link.js';
import type {Address, Listener, Link} from '../../src/link/link.js';
import type {Command, Reply, Usage} from './messages.js';

/** Code that the stand-in processes of the bench share. */

/**
 * Milliseconds since the epoch with fractions; comparable between processes of
 * one machine.
 */
export function wallTime(): number {
  return performance.timeOrigin + performance.now();
}

/** Reads the setup that the bench passes on the command line. */
export function readSetup<T>(): T {
  return JSON.parse(process.argv[2]!) as T;
}

/** Executes the bench's commands in order; exits when the bench exits. */
export function serveCommands(
  execute: (command: Command) => Promise<Reply>,
): void {
  let last = Promise.resolve();
  process.on('message', (command: Command) => {
    last = last.then(async () => sendReply(await execute(command)));
  });
  process.on('disconnect', () => process.exit(0));
}

/** Sends a reply to the bench. */
export function sendReply(reply: Reply): void {
  process.send?.(reply);
}

/** A network that counts the bytes of all its links, including closed ones. */
export interface CountedNetwork {
  readonly network: Network;
  bytes(): {bytesIn: number; bytesOut: number};
}

/** Wraps a network so that its bytes are counted. */
export function countBytes(inner: Network): CountedNetwork {
  const links: Link[] = [];
  const track = (link: Link) => {
    links.push(link);
    return link;
  };
  return {
    network: new (class extends Network {
      listen(
        address: Address,
        accept: (link: Link) => void,
      ): Promise<Listener> {
        return inner.listen(address, link => accept(track(link)));
      }

      async connect(address: Address): Promise<Link> {
        return track(await inner.connect(address));
      }
    })(),
    bytes() {
      let bytesIn = 0;
      let bytesOut = 0;
      for (const link of links) {
        bytesIn += link.bytesIn;
        bytesOut += link.bytesOut;
      }
      return {bytesIn, bytesOut};
    },
  };
}

/** Resources that this process has used since its start. */
export function readUsage(counted: CountedNetwork): Usage {
  const {user, system} = process.cpuUsage();
  const peak = process.resourceUsage().maxRSS * 1024;
  return {processor: (user + system) / 1000, peak, ...counted.bytes()};
}

/** Bytes of heap and of buffers outside it, after a garbage collection. */
export function readMemory(): Reply {
  global.gc?.();
  const {heapUsed, external} = process.memoryUsage();
  return {kind: 'memory', memory: heapUsed + external};
}
