import {fleetLimits} from './limits.js';
import type {Arrival, DomainSummary, HomeSummary} from './messages.js';

/** What is in force in one failure domain. */
export interface DomainState {
  readonly failureDomain: string;
  readonly nodes: number;
  /** Nodes that have reported that the version is in force. */
  readonly inForce: number;
  /** Nodes with an older version or none. */
  readonly behind: number;
  /** Nodes whose current state is not known. */
  readonly unknown: number;
}

/** The part of one home in a summary. */
export interface HomeView {
  readonly home: string;
  readonly version: number;
  /** Milliseconds since the summary of the home was made. */
  readonly age: number;
  /** Whether it is too old to show what is in force. */
  readonly isStale: boolean;
}

/** What is in force in each failure domain, for one version. */
export interface FleetSummary extends Omit<DomainState, 'failureDomain'> {
  readonly version: number;
  /**
   * False while the asked process started too recently to have received reports
   * of all homes.
   */
  readonly isSettled: boolean;
  /**
   * Lowest version in force among nodes whose state is known; absent for none.
   */
  readonly least?: number;
  readonly domains: readonly DomainState[];
  /** Names of nodes that lack the version; at most 20. */
  readonly laggards: readonly string[];
  readonly homes: readonly HomeView[];
}

/**
 * Joins the summaries of homes. A node whose state is not known to be current
 * counts as unknown, so the result may lag behind the actual state but is never
 * ahead of it.
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
    const departures = arrivals.filter(({from}) => from === home.home);
    for (const domain of home.domains) {
      const moved = isStale
        ? countMovedSince(departures, domain, home.age)
        : countMovedLost(departures, domain);
      add(domains, evaluateDomain(domain, version, isStale, moved));
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

/** Whether the summary of a home is recent enough to be current. */
function isCurrent(home: HomeSummary): boolean {
  return home.age <= fleetLimits.maxSummaryAge;
}

/**
 * Counts the nodes of a silent home that moved to another home after its last
 * summary. Otherwise each node of a failed relay would be counted twice, as
 * present at its new home and as unknown at the old one, and no change would be
 * in force everywhere until the summary of the failed relay is dropped. Nodes
 * that moved earlier are not counted here, since the silent home had already
 * removed them.
 */
function countMovedSince(
  departures: readonly Arrival[],
  {failureDomain}: DomainSummary,
  silence: number,
): number {
  const moved = departures.filter(
    arrival =>
      arrival.failureDomain === failureDomain && arrival.age <= silence,
  );
  return moved.length;
}

/**
 * Counts the nodes that a home has lost and that are known to be at another
 * home.
 */
function countMovedLost(
  departures: readonly Arrival[],
  {lost}: DomainSummary,
): number {
  const names = new Set(lost);
  return departures.filter(({node}) => names.has(node)).length;
}

/**
 * Evaluates a domain summary. The `moved` nodes are counted at their present
 * home instead.
 */
function evaluateDomain(
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
  const previous = domains.get(state.failureDomain);
  if (previous === undefined) {
    domains.set(state.failureDomain, state);
    return;
  }
  domains.set(state.failureDomain, {
    failureDomain: state.failureDomain,
    nodes: previous.nodes + state.nodes,
    inForce: previous.inForce + state.inForce,
    behind: previous.behind + state.behind,
    unknown: previous.unknown + state.unknown,
  });
}

function byName(left: DomainState, right: DomainState): number {
  return left.failureDomain < right.failureDomain ? -1 : 1;
}
