import type {Timers} from '../time/timers.js';
import {fleetLimits} from './limits.js';
import type {Arrival, Hello, HomeSummary} from './messages.js';

/** Nodes that are known to have moved from one home to another. */
export interface NodeMoves {
  /** Records the arrival of a node at this home. */
  addArrival(hello: Hello): void;
  /** Records the arrivals that the summary of a home reports. */
  addArrivals(summary: HomeSummary): void;
  /**
   * Removes moves from `home` that are too old to matter, after its summary
   * made at `madeAt` has been received.
   */
  removeOutdated(home: string, madeAt: number): void;
  /** Removes all moves from a home whose summary was dropped. */
  remove(home: string): void;
  list(): Arrival[];
}

/** When and where a node moved. */
interface Move {
  readonly failureDomain: string;
  readonly at: number;
}

/**
 * Creates a table of moves, each kept for as long as the home that the node
 * left is silent. A home reports an arrival for a minute only, while a
 * partition may last much longer.
 */
export function createNodeMoves(timers: Timers): NodeMoves {
  const moves = new Map<string, Map<string, Move>>();

  function set(from: string, node: string, move: Move): void {
    const nodes = moves.get(from) ?? new Map<string, Move>();
    moves.set(from, nodes);
    nodes.set(node, move);
  }

  return {
    addArrival({name, from, failureDomain}) {
      if (from === undefined) return;
      set(from, name, {failureDomain, at: timers.now()});
    },
    addArrivals(summary) {
      const now = timers.now() - summary.age;
      for (const {node, from, failureDomain, age} of summary.arrivals) {
        set(from, node, {failureDomain, at: now - age});
      }
    },
    removeOutdated(home, madeAt) {
      const nodes = moves.get(home);
      if (nodes === undefined) return;
      const oldest = madeAt - fleetLimits.lostRetention;
      for (const [node, {at}] of nodes) if (at < oldest) nodes.delete(node);
      if (nodes.size === 0) moves.delete(home);
    },
    remove: home => void moves.delete(home),
    list() {
      const now = timers.now();
      return [...moves].flatMap(([from, nodes]) =>
        [...nodes].map(([node, {failureDomain, at}]) => ({
          node,
          from,
          failureDomain,
          age: now - at,
        })),
      );
    },
  };
}
