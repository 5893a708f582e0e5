import type {InstanceDepartures} from '../departures/instance-departures.js';
import type {
  AnnounceServer,
  AnnounceServerOptions,
} from '../endpoints/announce-server.js';
import type {Upstream} from '../endpoints/announcer.js';
import type {CallerProtocol} from '../request/transport/caller-protocol.js';
import type {UpstreamProtocol} from '../request/transport/upstream-protocol.js';
import type {SampleTraffic} from './code-warm-up.js';

/** Options of the listener that receives the upstream's announcements. */
export interface UpstreamListenerOptions extends AnnounceServerOptions {
  readonly departures: InstanceDepartures;
}

/** Adapters for the platform of a deployment; each replaces a default. */
export interface NodeParts {
  /** The protocol of callers. */
  readonly callers?: CallerProtocol;
  /** Creates the protocol of one upstream. */
  readonly upstreams?: (upstream: Upstream) => UpstreamProtocol;
  /** Sample requests and responses for the warm-up of the code. */
  readonly sampleTraffic?: SampleTraffic;
  /** Opens the listener that receives the upstream's announcements. */
  readonly listenForUpstream?: (
    options: UpstreamListenerOptions,
  ) => Promise<AnnounceServer>;
}
