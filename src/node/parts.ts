import type {
  AnnounceServer,
  AnnounceServerOptions,
} from '../endpoints/announce-server.js';
import type {Upstream} from '../endpoints/announcer.js';
import type {CallerProtocol} from '../request/transport/caller-protocol.js';
import type {UpstreamProtocol} from '../request/transport/upstream-protocol.js';
import type {SampleTraffic} from './code-warm-up.js';

/** Parts that a deployment's platform may bring; the product's own are default. */
export interface NodeParts {
  /** The dialect of callers. */
  readonly callers?: CallerProtocol;
  /** The dialect of one upstream. */
  readonly upstreams?: (upstream: Upstream) => UpstreamProtocol;
  /** What requests and answers look like, for the warm-up of the code. */
  readonly sampleTraffic?: SampleTraffic;
  /** Opens the listener where the upstream announces itself. */
  readonly listenForUpstream?: (
    options: AnnounceServerOptions,
  ) => Promise<AnnounceServer>;
}
