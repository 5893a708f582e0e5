import {ForwardingLink} from '../link/forwarding-link.js';
import {Network} from '../link/link.js';
import type {Address, Link, Listener} from '../link/link.js';
import type {Timers} from '../time/timers.js';
import type {Metrics, LinkKind} from './metrics.js';

/** Milliseconds between two counts of the open links' bytes. */
const countEvery = 1000;

/** A network whose links' bytes are counted as `traffic`. */
export function createMeteredNetwork(
  network: Network,
  traffic: LinkKind,
  metrics: Metrics,
  timers: Timers,
): Network {
  const meters = new Set<Meter>();

  timers.every(countEvery, () => {
    for (const meter of meters) meter.count();
  });

  function watch(link: Link): Link {
    const meter = createMeter(link, traffic, metrics);
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
  /** Reports what came and went since the last count. */
  count(): void;
}

function createMeter(link: Link, traffic: LinkKind, metrics: Metrics): Meter {
  let received = 0;
  let sent = 0;
  return {
    count() {
      // A link that has ended takes back what it could not send any more, and
      // a counter that is asked to go back throws.
      const bytesIn = Math.max(received, link.bytesIn);
      const bytesOut = Math.max(sent, link.bytesOut);
      metrics.traffic(traffic, bytesIn - received, bytesOut - sent);
      received = bytesIn;
      sent = bytesOut;
    },
  };
}

/** A link has one observer of its end; this one also tells `ended`. */
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
