/** The order in which a node stops, so that neither callers nor its service lose more than they must. */
import type {AnnounceServer} from '../endpoints/announce-server.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Entry} from '../request/entry.js';
import type {Gate} from '../request/gate.js';
import type {Listener} from '../request/transport/listener.js';
import type {Timers} from '../time/timers.js';

/** What stops in order; times in milliseconds. */
export interface PlannedStopOptions {
  readonly announcer: Announcer;
  readonly announceServer: AnnounceServer | undefined;
  readonly entry: Pick<Entry, 'stop'>;
  readonly gate: Pick<Gate, 'stop'>;
  readonly gateServer: Pick<Listener, 'stop'>;
  /** Gives the node's claims to others within a time. */
  readonly handOverClaims: (within: number) => Promise<void>;
  /** How long the entry serves what keep-alive callers still send. */
  readonly gracePeriod: number;
  readonly timers: Timers;
}

/**
 * Milliseconds before the end of the entry's grace at which the gate closes. The
 * grace is for callers of the entry; with the gate closed for all of it, a
 * restart of each node in turn took a third of a service out though every
 * instance was well. Other nodes hear of a drain in some tenths of a second, and
 * work of a second ends within the rest.
 */
const gateClosing = 1500;

/** Stops within `deadline` milliseconds. */
export async function stopInOrder(
  options: PlannedStopOptions,
  deadline: number,
): Promise<void> {
  const {announcer, entry, gate, timers} = options;
  const end = timers.now() + deadline;
  const left = () => Math.max(0, end - timers.now());
  const entryStopped = entry.stop(left());
  await waitWithOpenGate(options, deadline);
  await options.announceServer?.close();
  // Entries stop choosing the gate before it refuses their work.
  const upstream = announcer.upstream();
  if (upstream !== undefined) {
    announcer.announce({...upstream, state: 'draining'});
  }
  await Promise.all([
    entryStopped,
    gate.stop(left()),
    options.handOverClaims(left()),
  ]);
  await options.gateServer.stop(left());
  announcer.withdraw();
}

function waitWithOpenGate(
  {announcer, gracePeriod: grace, timers}: PlannedStopOptions,
  deadline: number,
): Promise<void> {
  const open = Math.min(grace, deadline) - gateClosing;
  // Nothing is served behind a gate whose upstream has left.
  if (open <= 0 || announcer.upstream() === undefined) return Promise.resolve();
  return new Promise(resolve => void timers.after(open, resolve));
}
