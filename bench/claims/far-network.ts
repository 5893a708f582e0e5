import {Link, Network} from '../../src/link/link.js';
import type {Address, Listener} from '../../src/link/link.js';
import type {Timers} from '../../src/time/timers.js';

/** Bytes that links of one network carried. */
export interface Traffic {
  bytes: number;
  messages: number;
}

/**
 * A network that sends each message `delay` milliseconds late, as a distance
 * would, and counts what was sent. Connections are not delayed.
 */
export function createFarNetwork(
  near: Network,
  delay: number,
  timers: Timers,
  traffic: Traffic,
): Network {
  function wrap(link: Link): Link {
    let sent = link.bytesOut;
    const send = (message: unknown) => {
      link.send(message);
      traffic.bytes += link.bytesOut + link.pending - sent;
      sent = link.bytesOut + link.pending;
      traffic.messages++;
    };
    return new (class extends Link {
      readonly peer = link.peer;

      get pending(): number {
        return link.pending;
      }

      get bytesIn(): number {
        return link.bytesIn;
      }

      get bytesOut(): number {
        return link.bytesOut;
      }

      send(message: unknown): void {
        if (delay === 0) send(message);
        else timers.after(delay, () => send(message));
      }

      onMessage(receive: (message: unknown) => void): void {
        link.onMessage(receive);
      }

      onClose(closed: () => void): void {
        link.onClose(closed);
      }

      close(): void {
        link.close();
      }
    })();
  }

  return new (class extends Network {
    listen(address: Address, accept: (link: Link) => void): Promise<Listener> {
      return near.listen(address, link => accept(wrap(link)));
    }

    async connect(address: Address): Promise<Link> {
      return wrap(await near.connect(address));
    }
  })();
}
