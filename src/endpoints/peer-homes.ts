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

/** Options of `createPeerHomes`. */
export interface PeerHomesOptions {
  readonly name: string;
  readonly timers: Timers;
  readonly store: RecordStore;
  /** Milliseconds without a message after which a link is closed. */
  readonly timeout: number;
  readonly safeguards: Safeguards;
  readonly onUnreachable: (report: UnreachableReport) => void;
  readonly onContest: (instance: string) => void;
}

/**
 * The other homes that replicate records. Lease renewals are not replicated: as
 * long as the link to a home is alive, the leases of that home count as valid.
 */
export interface PeerHomes {
  accept(channels: Channels): void;
  /** Sends records that this home created to all others. */
  push(records: readonly EndpointRecord[]): void;
  /** Sends this home's digest to all others. */
  compare(): void;
  /** Closes links on which nothing was received within the timeout. */
  sweep(): void;
  /** Whether there is a live link to the home. */
  linked(home: string): boolean;
  /**
   * Milliseconds since the home was last linked to this home, or to another home
   * that is linked to this one; counted from the first call if it never was.
   */
  unreachableFor(home: string): number;
  /** Forwards a report to the home that holds the instance's lease. */
  report(home: string, report: UnreachableReport): void;
  /** Notifies the lease holder that another process announces the id or gate. */
  contest(home: string, instance: string): void;
}

interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  name: string | undefined;
  /** Homes to which the remote home has no link. */
  missing: readonly string[];
  lastReceivedAt: number;
}

/** Maximum number of records per message, so that one is processed quickly. */
const recordsPerMessage = 500;

/** Creates a home's sessions with the other homes. */
export function createPeerHomes(options: PeerHomesOptions): PeerHomes {
  const {name, timers, store} = options;
  const sessions = new Set<Session>();
  /** One session per home, even when both ends opened a link. */
  const byHome = new Map<string, Session>();
  const unlinkedSince = new Map<string, number>();

  const send = (session: Session, message: PeerMessage) =>
    session.channel.send(message);

  const convert = (record: EndpointRecord): EndpointRecord => ({
    ...record,
    announcement: convertSince(record.announcement, timers.wall()),
  });

  function sendRecords(
    session: Session,
    records: readonly EndpointRecord[],
  ): void {
    for (let offset = 0; offset < records.length; offset += recordsPerMessage) {
      const part = records
        .slice(offset, offset + recordsPerMessage)
        .map(convert);
      send(session, {kind: 'records', records: part});
    }
  }

  function remove(session: Session): void {
    sessions.delete(session);
    const home = session.name;
    if (home === undefined || byHome.get(home) !== session) return;
    byHome.delete(home);
    for (const other of sessions) {
      if (other.name === home) byHome.set(home, other);
    }
    if (!byHome.has(home)) unlinkedSince.set(home, timers.now());
  }

  function identify(session: Session, home: string): void {
    session.name = home;
    byHome.set(home, session);
    unlinkedSince.delete(home);
  }

  function sendRoot(session: Session): void {
    send(session, {
      kind: 'root',
      name,
      digest: store.root(),
      missing: [...unlinkedSince.keys()],
      linked: session.missing.filter(home => byHome.has(home)),
    });
  }

  /**
   * Restarts the timeout of homes that are linked to another home. A home of
   * which only the link to this one is cut is alive; presuming it dead would
   * declare its instances gone while their nodes renew their leases there.
   */
  function resetUnlinkedTime(homes: readonly string[]): void {
    if (!options.safeguards.indirectReachability) return;
    for (const home of homes) {
      if (unlinkedSince.has(home)) unlinkedSince.set(home, timers.now());
    }
  }

  /** Of two homes, the one whose name sorts first starts the comparison. */
  function compareRoot(session: Session, digest: Digest): void {
    if (session.name === undefined || name > session.name) return;
    if (!options.safeguards.comparison) return;
    if (equalDigests(digest, store.root())) return;
    send(session, {kind: 'buckets', digests: store.bucketDigests()});
  }

  function compareBuckets(session: Session, remote: readonly number[]): void {
    const local = store.bucketDigests();
    const differingBuckets = new Set<number>();
    for (let offset = 0; offset < local.length; offset++) {
      if (local[offset] !== remote[offset]) differingBuckets.add(offset >> 1);
    }
    const buckets = [...differingBuckets];
    if (buckets.length === 0) return;
    const entries = store.summaries(buckets);
    send(session, {kind: 'summary', buckets, entries});
  }

  function compareSummary(
    session: Session,
    buckets: readonly number[],
    remote: readonly RecordSummary[],
  ): void {
    const remoteByInstance = new Map(
      remote.map(summary => [summary.instance, summary]),
    );
    const wanted: string[] = [];
    for (const summary of remote) {
      if (isLocalBehind(summary)) wanted.push(summary.instance);
    }
    const newer = store
      .summaries(buckets)
      .filter(local => isAhead(local, remoteByInstance.get(local.instance)))
      .map(local => local.instance);
    sendInstances(session, newer);
    if (wanted.length > 0) send(session, {kind: 'wanted', instances: wanted});
  }

  function isLocalBehind(remote: RecordSummary): boolean {
    const entry = store.get(remote.instance);
    if (entry === undefined) return true;
    const {incarnation, sequence} = entry.announcement;
    const gone = entry.goneAt !== undefined;
    return isAhead(remote, {...remote, incarnation, sequence, gone});
  }

  function sendInstances(session: Session, instances: readonly string[]): void {
    const records = instances
      .map(instance => store.get(instance))
      .filter(entry => entry !== undefined)
      .map(entry => store.record(entry));
    sendRecords(session, records);
  }

  function receive(session: Session, message: PeerMessage): void {
    session.lastReceivedAt = timers.now();
    switch (message.kind) {
      case 'records':
        for (const record of message.records) store.merge(convert(record));
        return;
      case 'root':
        identify(session, message.name);
        session.missing = message.missing;
        resetUnlinkedTime(message.linked);
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
        lastReceivedAt: timers.now(),
      };
      sessions.add(session);
      channel.onMessage(body => {
        if (sessions.has(session)) receive(session, body as PeerMessage);
      });
      channels.onClose(() => remove(session));
      sendRoot(session);
    },
    push(records) {
      for (const session of byHome.values()) sendRecords(session, records);
    },
    compare() {
      for (const session of sessions) sendRoot(session);
    },
    sweep() {
      const now = timers.now();
      for (const session of [...sessions]) {
        if (now - session.lastReceivedAt < options.timeout) continue;
        session.channels.link.close();
        remove(session);
      }
    },
    linked: home => byHome.has(home),
    unreachableFor(home) {
      const since = unlinkedSince.get(home) ?? timers.now();
      unlinkedSince.set(home, since);
      return timers.now() - since;
    },
    report(home, report) {
      const session = byHome.get(home);
      if (session !== undefined)
        send(session, {kind: 'unreachable', ...report});
    },
    contest(home, instance) {
      const session = byHome.get(home);
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
