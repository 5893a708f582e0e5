import {ForwardingLink} from '../../src/link/forwarding-link.js';
import {Network} from '../../src/link/link.js';
import type {Address, Link, Listener} from '../../src/link/link.js';
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
    return new (class extends ForwardingLink {
      override send(message: unknown): void {
        if (delay === 0) send(message);
        else timers.after(delay, () => send(message));
      }
    })(link);
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
