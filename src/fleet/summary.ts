import {fleetLimits} from './limits.js';
import type {Arrival, DomainSummary, HomeSummary} from './messages.js';

/** What is in force in one failure domain. */
export interface DomainState {
  readonly failureDomain: string;
  readonly nodes: number;
  /** Nodes that themselves said that they have the version in force. */
  readonly inForce: number;
  /** Nodes that have an older version or none. */
  readonly behind: number;
  /** Nodes of which nothing current is known. */
  readonly unknown: number;
}

/** One home's part in a summary. */
export interface HomeView {
  readonly home: string;
  readonly version: number;
  /** Milliseconds since the home's summary was made. */
  readonly age: number;
  /** True when it is too old to say what is in force. */
  readonly isStale: boolean;
}

/** What is in force where, for one version. */
export interface FleetSummary extends Omit<DomainState, 'failureDomain'> {
  readonly version: number;
  /** False while the asked process is too young to have heard all homes. */
  readonly isSettled: boolean;
  /** Least version in force among nodes that are known; absent for none. */
  readonly least?: number;
  readonly domains: readonly DomainState[];
  /** Names of nodes that lack the version; 20 at most. */
  readonly laggards: readonly string[];
  readonly homes: readonly HomeView[];
}

/**
 * Joins the summaries of homes. Whatever is not known to be current counts as
 * unknown, so the answer may lag behind the truth but never runs ahead of it.
 */
export function joinSummaries(
  version: number,
  homes: readonly HomeSummary[],
  arrivals: readonly Arrival[],
  isSettled: boolean,
): FleetSummary {
  const domains = new Map<string, DomainState>();
  const laggards: string[] = [];
  let least: number | undefined;
  for (const home of homes) {
    const isStale = !isCurrent(home);
    const left = arrivals.filter(({from}) => from === home.home);
    for (const domain of home.domains) {
      const moved = isStale
        ? countAfter(left, domain, home.age)
        : countLost(left, domain);
      add(domains, judge(domain, version, isStale, moved));
      if (isStale || domain.least === undefined) continue;
      least = Math.min(least ?? domain.least, domain.least);
    }
    laggards.push(...home.laggards);
  }
  const list = [...domains.values()].sort(byName);
  const total = (key: 'nodes' | 'inForce' | 'behind' | 'unknown') =>
    list.reduce((sum, domain) => sum + domain[key], 0);
  return {
    version,
    isSettled,
    nodes: total('nodes'),
    inForce: total('inForce'),
    behind: total('behind'),
    unknown: total('unknown'),
    ...(least !== undefined && {least}),
    domains: list,
    laggards: laggards.slice(0, fleetLimits.laggards),
    homes: homes.map(home => ({
      home: home.home,
      version: home.version,
      age: Math.round(home.age),
      isStale: !isCurrent(home),
    })),
  };
}

/** A home's word is current while its summary is young enough. */
function isCurrent(home: HomeSummary): boolean {
  return home.age <= fleetLimits.summaryAge;
}

/**
 * Nodes of a home that has fallen silent which came to another home since it
 * was last heard. Without them each node of a dead relay would be counted
 * twice, as present where it is and as unknown where it was, and no change
 * would be in force everywhere until the dead relay is forgotten. A node that
 * came before counts for nothing here: the silent home had dropped it.
 */
function countAfter(
  left: readonly Arrival[],
  {failureDomain}: DomainSummary,
  silence: number,
): number {
  const moved = left.filter(
    one => one.failureDomain === failureDomain && one.age <= silence,
  );
  return moved.length;
}

/** Nodes that a home has lost and that are known to be at another. */
function countLost(left: readonly Arrival[], {lost}: DomainSummary): number {
  const names = new Set(lost);
  return left.filter(({node}) => names.has(node)).length;
}

/** `moved` nodes are counted at the home where they are now. */
function judge(
  domain: DomainSummary,
  version: number,
  isStale: boolean,
  moved: number,
): DomainState {
  const {failureDomain} = domain;
  const nodes = Math.max(0, domain.nodes + domain.unknown - moved);
  if (isStale) {
    return {failureDomain, nodes, inForce: 0, behind: 0, unknown: nodes};
  }
  const current = domain.versions.filter(entry => entry.version >= version);
  const inForce = current.reduce((sum, entry) => sum + entry.nodes, 0);
  const behind = domain.nodes - inForce;
  const unknown = Math.max(0, domain.unknown - moved);
  return {failureDomain, nodes, inForce, behind, unknown};
}

function add(domains: Map<string, DomainState>, state: DomainState): void {
  const known = domains.get(state.failureDomain);
  if (known === undefined) {
    domains.set(state.failureDomain, state);
    return;
  }
  domains.set(state.failureDomain, {
    failureDomain: state.failureDomain,
    nodes: known.nodes + state.nodes,
    inForce: known.inForce + state.inForce,
    behind: known.behind + state.behind,
    unknown: known.unknown + state.unknown,
  });
}

function byName(left: DomainState, right: DomainState): number {
  return left.failureDomain < right.failureDomain ? -1 : 1;
}
