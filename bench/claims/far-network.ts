import {ForwardingLink} from '../../src/link/forwarding-link.js';
import {Network} from '../../src/link/link.js';
import type {Address, Link, Listener} from '../../src/link/link.js';
import type {Timers} from '../../src/time/timers.js';

/** Traffic sent on all links of a network. */
export interface Traffic {
  bytes: number;
  messages: number;
}

/**
 * Wraps a network so that each message is sent `delay` milliseconds later,
 * which simulates a distance, and counts the traffic. Connecting is not
 * delayed.
 */
export function createFarNetwork(
  inner: Network,
  delay: number,
  timers: Timers,
  traffic: Traffic,
): Network {
  function wrap(link: Link): Link {
    let countedBytes = link.bytesOut;
    const send = (message: unknown) => {
      link.send(message);
      traffic.bytes += link.bytesOut + link.pending - countedBytes;
      countedBytes = link.bytesOut + link.pending;
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
      return inner.listen(address, link => accept(wrap(link)));
    }

    async connect(address: Address): Promise<Link> {
      return wrap(await inner.connect(address));
    }
  })();
}
