import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Network} from '../../src/link/link.js';
import type {Address, Listener, Link} from '../../src/link/link.js';
import type {Command, Reply, Usage} from './messages.js';

/** What the stand-in processes of the bench have in common. */

/** Milliseconds since the epoch, comparable between processes of one machine. */
export function wallTime(): number {
  return performance.timeOrigin + performance.now();
}

/** Reads the set-up that the bench gave on the command line. */
export function readSetup<T>(): T {
  return JSON.parse(process.argv[2]!) as T;
}

/** Answers each ask of the bench in order; ends with the bench. */
export function serveCommands(answer: (ask: Command) => Promise<Reply>): void {
  let last = Promise.resolve();
  process.on('message', (ask: Command) => {
    last = last.then(async () => sendReply(await answer(ask)));
  });
  process.on('disconnect', () => process.exit(0));
}

/** Tells the bench one thing. */
export function sendReply(told: Reply): void {
  process.send?.(told);
}

/** A network that counts the bytes of all links ever opened through it. */
export interface CountedNetwork {
  readonly network: Network;
  bytes(): {bytesIn: number; bytesOut: number};
}

/** Creates a counting view of a network. */
export function countBytes(inner: Network): CountedNetwork {
  const links: Link[] = [];
  const note = (link: Link) => {
    links.push(link);
    return link;
  };
  return {
    network: new (class extends Network {
      listen(
        address: Address,
        accept: (link: Link) => void,
      ): Promise<Listener> {
        return inner.listen(address, link => accept(note(link)));
      }

      async connect(address: Address): Promise<Link> {
        return note(await inner.connect(address));
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

/** What this process has used. */
export function readUsage(counted: CountedNetwork): Usage {
  const {user, system} = process.cpuUsage();
  const peak = process.resourceUsage().maxRSS * 1024;
  return {processor: (user + system) / 1000, peak, ...counted.bytes()};
}

/** Bytes of heap and of buffers outside it, after a collection. */
export function readMemory(): Reply {
  global.gc?.();
  const {heapUsed, external} = process.memoryUsage();
  return {kind: 'memory', memory: heapUsed + external};
}
