import {fleetLimits} from './limits.js';
import type {DomainSummary, HomeSummary} from './messages.js';

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
): FleetSummary {
  const domains = new Map<string, DomainState>();
  const laggards: string[] = [];
  let least: number | undefined;
  for (const home of homes) {
    const isStale = home.age > fleetLimits.summaryAge;
    for (const domain of home.domains) {
      const state = judge(domain, version, isStale);
      add(domains, state);
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
      isStale: home.age > fleetLimits.summaryAge,
    })),
  };
}

function judge(
  domain: DomainSummary,
  version: number,
  isStale: boolean,
): DomainState {
  const {failureDomain} = domain;
  const nodes = domain.nodes + domain.unknown;
  if (isStale) {
    return {failureDomain, nodes, inForce: 0, behind: 0, unknown: nodes};
  }
  const current = domain.versions.filter(entry => entry.version >= version);
  const inForce = current.reduce((sum, entry) => sum + entry.nodes, 0);
  const behind = domain.nodes - inForce;
  return {failureDomain, nodes, inForce, behind, unknown: domain.unknown};
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
