import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {equalDigests} from './digest.js';
import type {Digest} from './digest.js';
import type {EndpointRecord, PeerMessage, RecordSummary} from './messages.js';
import type {RecordStore} from './record-store.js';

/** A node's report that it cannot reach an instance. */
export interface Report {
  readonly instance: string;
  readonly incarnation: number;
  /** The node that reports. */
  readonly witness: string;
}

/** Settings of a home's links to the others. */
export interface PeersOptions {
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  readonly store: RecordStore;
  /** Milliseconds of silence after which a home counts as cut off. */
  readonly timeout: number;
  readonly onUnreachable: (report: Report) => void;
}

/** The other homes. Renewals stay at home: a live link vouches for its holder. */
export interface Peers {
  accept(channels: Channels): void;
  /** Sends records that this home made to all others. */
  push(records: readonly EndpointRecord[]): void;
  /** Sends this home's digest to all others. */
  compare(): void;
  /** Closes links that are silent. */
  sweep(): void;
  /** Whether a link to the home is alive. */
  linked(home: string): boolean;
  /** Milliseconds since the home was last linked, or first asked after. */
  absence(home: string): number;
  /** Passes a report on to the home that holds the instance. */
  report(home: string, report: Report): void;
}

interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  name: string | undefined;
  lastHeard: number;
}

/** Records in one message at most, so that one message is handled quickly. */
const recordsPerMessage = 500;

/** Creates a home's links to the others. */
export function createPeers(options: PeersOptions): Peers {
  const {name, region, timers, store} = options;
  const sessions = new Set<Session>();
  const missingSince = new Map<string, number>();

  const send = (session: Session, message: PeerMessage) =>
    session.channel.send(message);

  function sendRecords(
    session: Session,
    records: readonly EndpointRecord[],
  ): void {
    for (let at = 0; at < records.length; at += recordsPerMessage) {
      const part = records.slice(at, at + recordsPerMessage);
      send(session, {kind: 'records', records: part});
    }
  }

  function sessionOf(home: string): Session | undefined {
    for (const session of sessions) if (session.name === home) return session;
    return undefined;
  }

  function remove(session: Session): void {
    sessions.delete(session);
    const home = session.name;
    if (home === undefined || sessionOf(home) !== undefined) return;
    missingSince.set(home, timers.now());
  }

  /** Of two homes the one whose name sorts first leads a comparison. */
  function compareRoot(session: Session, digest: Digest): void {
    if (session.name === undefined || name > session.name) return;
    if (equalDigests(digest, store.root())) return;
    send(session, {kind: 'buckets', digests: store.bucketDigests()});
  }

  function compareBuckets(session: Session, theirs: readonly number[]): void {
    const own = store.bucketDigests();
    const differing = new Set<number>();
    for (let at = 0; at < own.length; at++) {
      if (own[at] !== theirs[at]) differing.add(at >> 1);
    }
    const buckets = [...differing];
    if (buckets.length === 0) return;
    const entries = store.summaries(buckets);
    send(session, {kind: 'summary', buckets, entries});
  }

  function compareSummary(
    session: Session,
    buckets: readonly number[],
    theirs: readonly RecordSummary[],
  ): void {
    const known = new Map(theirs.map(one => [one.instance, one]));
    const wanted: string[] = [];
    for (const summary of theirs) {
      if (isBehind(summary)) wanted.push(summary.instance);
    }
    const newer = store
      .summaries(buckets)
      .filter(own => isAhead(own, known.get(own.instance)))
      .map(own => own.instance);
    sendInstances(session, newer);
    if (wanted.length > 0) send(session, {kind: 'wanted', instances: wanted});
  }

  function isBehind(theirs: RecordSummary): boolean {
    const entry = store.get(theirs.instance);
    if (entry === undefined) return true;
    const {incarnation, sequence} = entry.announcement;
    const gone = entry.goneAt !== undefined;
    return isAhead(theirs, {...theirs, incarnation, sequence, gone});
  }

  function sendInstances(session: Session, instances: readonly string[]): void {
    const records = instances
      .map(instance => store.get(instance))
      .filter(entry => entry !== undefined)
      .map(entry => store.record(entry));
    sendRecords(session, records);
  }

  function receive(session: Session, message: PeerMessage): void {
    session.lastHeard = timers.now();
    switch (message.kind) {
      case 'hello':
        session.name = message.name;
        missingSince.delete(message.name);
        return;
      case 'records':
        for (const record of message.records) store.merge(record);
        return;
      case 'root':
        return compareRoot(session, message.digest);
      case 'buckets':
        return compareBuckets(session, message.digests);
      case 'summary':
        return compareSummary(session, message.buckets, message.entries);
      case 'wanted':
        return sendInstances(session, message.instances);
      case 'unreachable':
        options.onUnreachable(message);
    }
  }

  /** One session for each home, also where both ends opened a link. */
  function named(): Session[] {
    const byName = new Map<string, Session>();
    for (const session of sessions) {
      if (session.name !== undefined) byName.set(session.name, session);
    }
    return [...byName.values()];
  }

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      const session: Session = {
        channels,
        channel,
        name: undefined,
        lastHeard: timers.now(),
      };
      sessions.add(session);
      channel.onMessage(body => {
        if (sessions.has(session)) receive(session, body as PeerMessage);
      });
      channels.onClose(() => remove(session));
      send(session, {kind: 'hello', name, region});
      send(session, {kind: 'root', digest: store.root()});
    },
    push(records) {
      for (const session of named()) sendRecords(session, records);
    },
    compare() {
      const digest = store.root();
      for (const session of sessions) send(session, {kind: 'root', digest});
    },
    sweep() {
      const now = timers.now();
      for (const session of [...sessions]) {
        if (now - session.lastHeard < options.timeout) continue;
        session.channels.link.close();
        remove(session);
      }
    },
    linked: home => sessionOf(home) !== undefined,
    absence(home) {
      const since = missingSince.get(home) ?? timers.now();
      missingSince.set(home, since);
      return timers.now() - since;
    },
    report(home, report) {
      const session = sessionOf(home);
      if (session === undefined) return;
      send(session, {kind: 'unreachable', ...report});
    },
  };
}

function isAhead(left: RecordSummary, right: RecordSummary | undefined) {
  if (right === undefined) return true;
  const order =
    left.incarnation - right.incarnation ||
    left.sequence - right.sequence ||
    Number(left.gone) - Number(right.gone);
  return order > 0;
}
