/** Tells when the stable versions of a service may stop. */
import type {FleetSummary} from '../fleet/summary.js';
import type {NodeState} from './evidence.js';

/** What the takeover is judged by. */
export interface TakeoverInput {
  /** The version that sends all requests to the target. */
  readonly version: number;
  /** Milliseconds since it was applied. */
  readonly age: number;
  /** The present, by the clock of the nodes' states. */
  readonly now: number;
  readonly nodes: readonly NodeState[];
  readonly fleet: Pick<
    FleetSummary,
    'isSettled' | 'nodes' | 'inForce' | 'behind' | 'unknown'
  >;
}

/**
 * Milliseconds after which a node that does not report counts as out of touch.
 * It reports more often than that while a roll-out is under way.
 */
const silenceLimit = 2_000;

/**
 * Whether every node that is in touch has the version in force and no request
 * running at a stable version. Nodes out of touch are waited for until they
 * count as silent.
 */
export function isTakenOver(input: TakeoverInput): boolean {
  const {version, age, now, fleet} = input;
  const present = latestByNode(input.nodes).filter(
    ({at}) => now - at < silenceLimit,
  );
  const done = present.filter(
    node =>
      node.version >= version && node.isConfirmed && node.stableRunning === 0,
  );
  if (done.length === 0 || done.length < present.length) return false;
  if (age >= silenceLimit) return done.length >= fleet.inForce;
  return (
    fleet.isSettled &&
    fleet.behind === 0 &&
    fleet.unknown === 0 &&
    done.length >= fleet.nodes
  );
}

function latestByNode(nodes: readonly NodeState[]): NodeState[] {
  const latest = new Map<string, NodeState>();
  for (const state of nodes) {
    const known = latest.get(state.node);
    if (known === undefined || state.at >= known.at) {
      latest.set(state.node, state);
    }
  }
  return [...latest.values()];
}
