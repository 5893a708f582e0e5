import type {Timers} from '../time/timers.js';
import {fleetLimits} from './limits.js';
import type {Arrival, Hello, HomeSummary} from './messages.js';

/** Nodes that are known to have left one home for another. */
export interface NodeMoves {
  /** A node came here. */
  addArrival(hello: Hello): void;
  /** Takes the arrivals that a home tells of. */
  addArrivals(summary: HomeSummary): void;
  /** A home was heard itself; older moves from it say nothing new. */
  removeOutdated(home: string, madeAt: number): void;
  /** The home is not spoken of any more. */
  remove(home: string): void;
  list(): Arrival[];
}

interface Move {
  readonly failureDomain: string;
  readonly at: number;
}

/**
 * Remembers moves for as long as the home that was left is silent: homes tell
 * of an arrival for a minute only, and a cut may last much longer.
 */
export function createNodeMoves(timers: Timers): NodeMoves {
  const moves = new Map<string, Map<string, Move>>();

  function set(from: string, node: string, move: Move): void {
    const left = moves.get(from) ?? new Map<string, Move>();
    moves.set(from, left);
    left.set(node, move);
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
      const left = moves.get(home);
      if (left === undefined) return;
      const oldest = madeAt - fleetLimits.remembered;
      for (const [node, {at}] of left) if (at < oldest) left.delete(node);
      if (left.size === 0) moves.delete(home);
    },
    remove: home => void moves.delete(home),
    list() {
      const now = timers.now();
      return [...moves].flatMap(([from, left]) =>
        [...left].map(([node, {failureDomain, at}]) => ({
          node,
          from,
          failureDomain,
          age: now - at,
        })),
      );
    },
  };
}
