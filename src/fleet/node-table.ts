import type {Channels} from '../link/channel.js';
import type {Timers} from '../time/timers.js';
import {fleetLimits} from './limits.js';
import type {
  Arrival,
  DomainSummary,
  Hello,
  HomeSummary,
  VersionCount,
} from './messages.js';

/** A node with what its home knows of it. */
export interface NodeEntry {
  readonly hello: Hello;
  readonly channels: Channels;
  /** The version in force at the node, as it reported itself. */
  version: number | undefined;
  /** Local time of the last message. */
  lastMessageAt: number;
  readonly arrivedAt: number;
  /** Local time at which the link was closed; undefined while it is open. */
  lostAt: number | undefined;
}

/** The nodes of one home. */
export interface NodeTable {
  add(hello: Hello, channels: Channels): NodeEntry;
  /** Removes a node that closed its link deliberately. */
  remove(node: NodeEntry): void;
  /** Marks a node as lost after its link was closed without a `Goodbye`. */
  markLost(node: NodeEntry): void;
  members(): Iterable<NodeEntry>;
  /** Removes nodes that were lost long ago. */
  removeExpired(): void;
  summarize(home: string, version: number): HomeSummary;
}

/** Creates an empty node table. */
export function createNodeTable(timers: Timers): NodeTable {
  const nodes = new Map<string, NodeEntry>();
  const isCurrent = (node: NodeEntry) => nodes.get(node.hello.name) === node;

  return {
    add(hello, channels) {
      const node: NodeEntry = {
        hello,
        channels,
        version: undefined,
        lastMessageAt: timers.now(),
        arrivedAt: timers.now(),
        lostAt: undefined,
      };
      nodes.set(hello.name, node);
      return node;
    },
    remove(node) {
      if (isCurrent(node)) nodes.delete(node.hello.name);
    },
    markLost(node) {
      node.lostAt ??= timers.now();
    },
    members: () => nodes.values(),
    removeExpired() {
      const oldest = timers.now() - fleetLimits.lostRetention;
      for (const node of nodes.values()) {
        if (node.lostAt === undefined || node.lostAt > oldest) continue;
        nodes.delete(node.hello.name);
      }
    },
    summarize(home, version) {
      const domains = new Map<string, NodeEntry[]>();
      for (const node of nodes.values()) {
        const {failureDomain} = node.hello;
        const group = domains.get(failureDomain);
        if (group === undefined) domains.set(failureDomain, [node]);
        else group.push(node);
      }
      return {
        home,
        age: 0,
        version,
        domains: [...domains].map(([name, group]) => summarize(name, group)),
        laggards: findLaggards(nodes.values(), version),
        arrivals: findArrivals(nodes.values(), timers.now()),
      };
    },
  };
}

function summarize(failureDomain: string, group: NodeEntry[]): DomainSummary {
  const counts = new Map<number, number>();
  const lost: string[] = [];
  let nodes = 0;
  let starting = 0;
  for (const {hello, version, lostAt} of group) {
    if (lostAt !== undefined) {
      lost.push(hello.name);
      continue;
    }
    nodes++;
    if (version === undefined) starting++;
    else counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  const least = counts.size > 0 ? Math.min(...counts.keys()) : undefined;
  return {
    failureDomain,
    nodes,
    unknown: lost.length,
    lost: lost.slice(0, fleetLimits.names),
    starting,
    ...(least !== undefined && {least}),
    versions: limitVersions(counts),
  };
}

/** Merges the oldest versions into one entry under the lowest of them. */
function limitVersions(counts: Map<number, number>): VersionCount[] {
  const sorted = [...counts].sort(([left], [right]) => right - left);
  const entries = sorted.map(([version, nodes]) => ({version, nodes}));
  const kept = entries.slice(0, fleetLimits.versions - 1);
  const merged = entries.slice(fleetLimits.versions - 1);
  if (merged.length === 0) return kept;
  const nodes = merged.reduce((sum, entry) => sum + entry.nodes, 0);
  return [...kept, {version: merged[merged.length - 1]!.version, nodes}];
}

/** Returns the nodes that are here and came from another home, latest first. */
function findArrivals(nodes: Iterable<NodeEntry>, now: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (const {hello, arrivedAt, lostAt} of nodes) {
    const age = now - arrivedAt;
    if (hello.from === undefined || lostAt !== undefined) continue;
    if (age > fleetLimits.arrivalRetention) continue;
    const {name, from, failureDomain} = hello;
    arrivals.push({node: name, from, failureDomain, age});
  }
  arrivals.sort((left, right) => left.age - right.age);
  return arrivals.slice(0, fleetLimits.names);
}

function findLaggards(nodes: Iterable<NodeEntry>, version: number): string[] {
  const laggards: NodeEntry[] = [];
  for (const node of nodes) {
    const isBehind = node.version === undefined || node.version < version;
    if (isBehind || node.lostAt !== undefined) laggards.push(node);
  }
  laggards.sort((left, right) => (left.version ?? -1) - (right.version ?? -1));
  return laggards.slice(0, fleetLimits.laggards).map(node => node.hello.name);
}
