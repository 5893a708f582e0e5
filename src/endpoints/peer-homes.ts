import type {Channel, Channels} from '../link/channel.js';
import type {Timers} from '../time/timers.js';
import {equalDigests} from './digest.js';
import type {Digest} from './digest.js';
import type {EndpointRecord, PeerMessage, RecordSummary} from './messages.js';
import type {RecordStore} from './record-store.js';
import type {Safeguards} from './safeguards.js';
import {convertSince} from './since-conversion.js';

/** A node's report that it cannot reach an instance. */
export interface UnreachableReport {
  readonly instance: string;
  readonly incarnation: number;
  /** The node that reports. */
  readonly witness: string;
}

/** Settings of a home's links to the others. */
export interface PeerHomesOptions {
  readonly name: string;
  readonly timers: Timers;
  readonly store: RecordStore;
  /** Milliseconds of silence after which a home counts as cut off. */
  readonly timeout: number;
  readonly safeguards: Safeguards;
  readonly onUnreachable: (report: UnreachableReport) => void;
  readonly onContest: (instance: string) => void;
}

/** The other homes. Renewals stay at home: a live link vouches for its holder. */
export interface PeerHomes {
  accept(channels: Channels): void;
  /** Sends records that this home made to all others. */
  push(records: readonly EndpointRecord[]): void;
  /** Sends this home's digest to all others. */
  compare(): void;
  /** Closes links that are silent. */
  sweep(): void;
  /** Whether a link to the home is alive. */
  linked(home: string): boolean;
  /**
   * Milliseconds since the home was last linked here or to another home that
   * is linked here, or since it was first asked after.
   */
  unreachableFor(home: string): number;
  /** Passes a report on to the home that holds the instance. */
  report(home: string, report: UnreachableReport): void;
  /** Tells the holder that another process claims its instance's id or gate. */
  contest(home: string, instance: string): void;
}

interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  name: string | undefined;
  /** Homes that the other end misses. */
  missing: readonly string[];
  lastHeard: number;
}

/** Records in one message at most, so that one message is handled quickly. */
const recordsPerMessage = 500;

/** Creates a home's links to the others. */
export function createPeerHomes(options: PeerHomesOptions): PeerHomes {
  const {name, timers, store} = options;
  const sessions = new Set<Session>();
  /** One session for each home, also where both ends opened a link. */
  const named = new Map<string, Session>();
  const missingSince = new Map<string, number>();

  const send = (session: Session, message: PeerMessage) =>
    session.channel.send(message);

  const turn = (record: EndpointRecord): EndpointRecord => ({
    ...record,
    announcement: convertSince(record.announcement, timers.wall()),
  });

  function sendRecords(
    session: Session,
    records: readonly EndpointRecord[],
  ): void {
    for (let at = 0; at < records.length; at += recordsPerMessage) {
      const part = records.slice(at, at + recordsPerMessage).map(turn);
      send(session, {kind: 'records', records: part});
    }
  }

  function remove(session: Session): void {
    sessions.delete(session);
    const home = session.name;
    if (home === undefined || named.get(home) !== session) return;
    named.delete(home);
    for (const other of sessions) {
      if (other.name === home) named.set(home, other);
    }
    if (!named.has(home)) missingSince.set(home, timers.now());
  }

  function identify(session: Session, home: string): void {
    session.name = home;
    named.set(home, session);
    missingSince.delete(home);
  }

  function sendRoot(session: Session): void {
    send(session, {
      kind: 'root',
      name,
      digest: store.root(),
      missing: [...missingSince.keys()],
      linked: session.missing.filter(home => named.has(home)),
    });
  }

  /**
   * A home whose link to this one alone is cut is not dead. Were it taken for
   * dead, its instances would be declared gone while their nodes renew there.
   */
  function noteLinked(homes: readonly string[]): void {
    if (!options.safeguards.indirectReachability) return;
    for (const home of homes) {
      if (missingSince.has(home)) missingSince.set(home, timers.now());
    }
  }

  /** Of two homes the one whose name sorts first leads a comparison. */
  function compareRoot(session: Session, digest: Digest): void {
    if (session.name === undefined || name > session.name) return;
    if (!options.safeguards.comparison) return;
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
      case 'records':
        for (const record of message.records) store.merge(turn(record));
        return;
      case 'root':
        identify(session, message.name);
        session.missing = message.missing;
        noteLinked(message.linked);
        return compareRoot(session, message.digest);
      case 'buckets':
        return compareBuckets(session, message.digests);
      case 'summary':
        return compareSummary(session, message.buckets, message.entries);
      case 'wanted':
        return sendInstances(session, message.instances);
      case 'contest':
        return options.onContest(message.instance);
      case 'unreachable':
        options.onUnreachable(message);
    }
  }

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      const session: Session = {
        channels,
        channel,
        name: undefined,
        missing: [],
        lastHeard: timers.now(),
      };
      sessions.add(session);
      channel.onMessage(body => {
        if (sessions.has(session)) receive(session, body as PeerMessage);
      });
      channels.onClose(() => remove(session));
      sendRoot(session);
    },
    push(records) {
      for (const session of named.values()) sendRecords(session, records);
    },
    compare() {
      for (const session of sessions) sendRoot(session);
    },
    sweep() {
      const now = timers.now();
      for (const session of [...sessions]) {
        if (now - session.lastHeard < options.timeout) continue;
        session.channels.link.close();
        remove(session);
      }
    },
    linked: home => named.has(home),
    unreachableFor(home) {
      const since = missingSince.get(home) ?? timers.now();
      missingSince.set(home, since);
      return timers.now() - since;
    },
    report(home, report) {
      const session = named.get(home);
      if (session !== undefined)
        send(session, {kind: 'unreachable', ...report});
    },
    contest(home, instance) {
      const session = named.get(home);
      if (session !== undefined) send(session, {kind: 'contest', instance});
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
