/** Stops the parts of a node in an order that loses as few requests as possible. */
import type {AnnounceServer} from '../endpoints/announce-server.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Entry} from '../request/entry.js';
import type {Gate} from '../request/gate.js';
import type {StopLimit} from '../request/decisions/stop-limit.js';
import type {Listener} from '../request/transport/listener.js';
import {delayUntil} from '../time/deadline.js';
import type {Timers} from '../time/timers.js';

/** Options of `stopInOrder`; times in milliseconds. */
export interface PlannedStopOptions {
  readonly announcer: Announcer;
  readonly announceServer: AnnounceServer | undefined;
  readonly entry: Pick<Entry, 'stop'>;
  readonly gate: Pick<Gate, 'stop'>;
  readonly gateServer: Pick<Listener, 'stop'>;
  readonly stopLimit: Pick<StopLimit, 'begin'>;
  /** Hands over the node's claims to other keepers within a time limit. */
  readonly handOverClaims: (limit: number) => Promise<void>;
  /** How long the entry still serves requests on keep-alive connections. */
  readonly gracePeriod: number;
  readonly timers: Timers;
}

/**
 * Milliseconds before the end of the entry's grace period at which the gate
 * closes. The grace period is meant for callers of the entry. If the gate were
 * closed for all of it, a rolling restart would make a third of a service's
 * instances unavailable though all of them are healthy. Other nodes learn of a
 * drain within some tenths of a second, and requests that take a second finish in
 * the remaining time.
 */
const gateClosingLead = 1500;

/** Stops a node within `deadline` milliseconds. */
export async function stopInOrder(
  options: PlannedStopOptions,
  deadline: number,
): Promise<void> {
  const {announcer, entry, timers} = options;
  const end = timers.now() + deadline;
  const remaining = () => delayUntil(end, timers.now());
  options.stopLimit.begin(end);
  const entryStopped = entry.stop(remaining());
  await waitWithOpenGate(options, deadline);
  await options.announceServer?.close();
  // Announce the drain first, so that entries stop choosing the gate before it
  // refuses their requests.
  const upstream = announcer.upstream();
  if (upstream !== undefined) {
    announcer.announce({...upstream, state: 'draining'});
  }
  await Promise.all([
    entryStopped,
    stopGate(options, remaining),
    options.handOverClaims(remaining()),
  ]);
  announcer.withdraw();
}

/** Stops the gate, then its links, which are open while calls run. */
async function stopGate(
  {gate, gateServer}: PlannedStopOptions,
  remaining: () => number,
): Promise<void> {
  await gate.stop(remaining());
  await gateServer.stop(remaining());
}

function waitWithOpenGate(
  {announcer, gracePeriod, timers}: PlannedStopOptions,
  deadline: number,
): Promise<void> {
  const openTime = Math.min(gracePeriod, deadline) - gateClosingLead;
  // A gate without an upstream serves no requests.
  if (openTime <= 0 || announcer.upstream() === undefined)
    return Promise.resolve();
  return new Promise(resolve => void timers.after(openTime, resolve));
}
