import {ForwardingLink} from '../link/forwarding-link.js';
import {Network} from '../link/link.js';
import type {Address, Link, Listener} from '../link/link.js';
import type {Timers} from '../time/timers.js';
import type {Metrics, LinkKind} from './metrics.js';

/** Milliseconds between two counts of the bytes of open links. */
const countPeriod = 1000;

/** Wraps a network and counts the bytes of its links under `linkKind`. */
export function createMeteredNetwork(
  network: Network,
  linkKind: LinkKind,
  metrics: Metrics,
  timers: Timers,
): Network {
  const meters = new Set<Meter>();

  timers.every(countPeriod, () => {
    for (const meter of meters) meter.count();
  });

  function watch(link: Link): Link {
    const meter = createMeter(link, linkKind, metrics);
    meters.add(meter);
    return wrapLink(link, () => {
      meter.count();
      meters.delete(meter);
    });
  }

  return new (class extends Network {
    listen(address: Address, accept: (link: Link) => void): Promise<Listener> {
      return network.listen(address, link => accept(watch(link)));
    }

    async connect(address: Address): Promise<Link> {
      return watch(await network.connect(address));
    }
  })();
}

interface Meter {
  /** Reports the bytes received and sent since the last count. */
  count(): void;
}

function createMeter(link: Link, linkKind: LinkKind, metrics: Metrics): Meter {
  let received = 0;
  let sent = 0;
  return {
    count() {
      // A closed link no longer includes the bytes that it could not send, and a
      // counter throws when it is decremented.
      const bytesIn = Math.max(received, link.bytesIn);
      const bytesOut = Math.max(sent, link.bytesOut);
      metrics.traffic(linkKind, bytesIn - received, bytesOut - sent);
      received = bytesIn;
      sent = bytesOut;
    },
  };
}

/**
 * Wraps a link, so that its end is also reported to `ended`; a link supports only
 * one observer.
 */
function wrapLink(link: Link, ended: () => void): Link {
  let isClosed = false;
  let closed: (() => void) | undefined;
  link.onClose(() => {
    isClosed = true;
    ended();
    closed?.();
  });

  return new (class extends ForwardingLink {
    override onClose(observe: () => void): void {
      closed = observe;
      if (isClosed) observe();
    }
  })(link);
}
