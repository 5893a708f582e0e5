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

/** A node as its home knows it. */
export interface NodeEntry {
  readonly hello: Hello;
  readonly channels: Channels;
  /** The version in force there, as the node itself said. */
  version: number | undefined;
  lastMessageAt: number;
  readonly arrivedAt: number;
  /** When the link ended; undefined while it is up. */
  lostAt: number | undefined;
}

/** The nodes of one home. */
export interface NodeTable {
  add(hello: Hello, channels: Channels): NodeEntry;
  /** A node left by its own will. */
  remove(member: NodeEntry): void;
  /** A node's link ended without a word. */
  markLost(member: NodeEntry): void;
  members(): Iterable<NodeEntry>;
  /** Drops nodes that were lost long ago. */
  removeExpired(): void;
  summarize(home: string, version: number): HomeSummary;
}

/** Creates an empty roster. */
export function createNodeTable(timers: Timers): NodeTable {
  const members = new Map<string, NodeEntry>();
  const isPresent = (member: NodeEntry) =>
    members.get(member.hello.name) === member;

  return {
    add(hello, channels) {
      const member: NodeEntry = {
        hello,
        channels,
        version: undefined,
        lastMessageAt: timers.now(),
        arrivedAt: timers.now(),
        lostAt: undefined,
      };
      members.set(hello.name, member);
      return member;
    },
    remove(member) {
      if (isPresent(member)) members.delete(member.hello.name);
    },
    markLost(member) {
      member.lostAt ??= timers.now();
    },
    members: () => members.values(),
    removeExpired() {
      const oldest = timers.now() - fleetLimits.remembered;
      for (const member of members.values()) {
        if (member.lostAt === undefined || member.lostAt > oldest) continue;
        members.delete(member.hello.name);
      }
    },
    summarize(home, version) {
      const domains = new Map<string, NodeEntry[]>();
      for (const member of members.values()) {
        const {failureDomain} = member.hello;
        const group = domains.get(failureDomain);
        if (group === undefined) domains.set(failureDomain, [member]);
        else group.push(member);
      }
      return {
        home,
        age: 0,
        version,
        domains: [...domains].map(([name, group]) => summarize(name, group)),
        laggards: findLaggards(members.values(), version),
        arrivals: findArrivals(members.values(), timers.now()),
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
    versions: bound(counts),
  };
}

/** Merges the oldest versions into one entry, at the least of them. */
function bound(counts: Map<number, number>): VersionCount[] {
  const sorted = [...counts].sort(([left], [right]) => right - left);
  const entries = sorted.map(([version, nodes]) => ({version, nodes}));
  const kept = entries.slice(0, fleetLimits.versions - 1);
  const rest = entries.slice(fleetLimits.versions - 1);
  if (rest.length === 0) return kept;
  const nodes = rest.reduce((sum, entry) => sum + entry.nodes, 0);
  return [...kept, {version: rest[rest.length - 1]!.version, nodes}];
}

/** Nodes that are here and were elsewhere, the latest first. */
function findArrivals(members: Iterable<NodeEntry>, now: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (const {hello, arrivedAt, lostAt} of members) {
    const age = now - arrivedAt;
    if (hello.from === undefined || lostAt !== undefined) continue;
    if (age > fleetLimits.arrivalTold) continue;
    const {name, from, failureDomain} = hello;
    arrivals.push({node: name, from, failureDomain, age});
  }
  arrivals.sort((left, right) => left.age - right.age);
  return arrivals.slice(0, fleetLimits.names);
}

function findLaggards(members: Iterable<NodeEntry>, version: number): string[] {
  const behind: NodeEntry[] = [];
  for (const member of members) {
    const isBehind = member.version === undefined || member.version < version;
    if (isBehind || member.lostAt !== undefined) behind.push(member);
  }
  behind.sort((left, right) => (left.version ?? -1) - (right.version ?? -1));
  return behind.slice(0, fleetLimits.laggards).map(one => one.hello.name);
}
