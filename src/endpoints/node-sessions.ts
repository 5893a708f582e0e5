import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {endpointCodes} from './codes.js';
import type {Leases} from './leases.js';
import type {Announcement, HomeMessage, NodeMessage} from './messages.js';
import {compareAnnouncements} from './announcement-order.js';
import type {PeerHomes} from './peer-homes.js';
import type {RecordEntry, RecordStore} from './record-store.js';
import {createSubscriptions} from './subscriptions.js';
import type {NodeSubscription} from './subscriptions.js';
import {convertSince} from './since-conversion.js';

/** Options of `createNodeSessions`; times in milliseconds. */
export interface NodeSessionsOptions {
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  readonly store: RecordStore;
  readonly peers: PeerHomes;
  readonly leases: Leases;
  /** Minimum time between two deltas to one node. */
  readonly deltaWindow: number;
  /** Time without a message after which a node's link is closed. */
  readonly silenceTimeout: number;
  /** When every live instance has had enough time to be announced here. */
  readonly completeAt: number;
}

/** A home's sessions with its nodes. */
export interface NodeSessions {
  accept(channels: Channels): void;
  /** Closes links on which nothing was received within the timeout. */
  sweep(): void;
}

interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  lastReceivedAt: number;
  /** The instance that this node announces. */
  instance: string | undefined;
  readonly subscriber: NodeSubscription;
}

/** Creates a home's sessions with its nodes. */
export function createNodeSessions(options: NodeSessionsOptions): NodeSessions {
  const {name, region, timers, log, store, peers, leases} = options;
  const sessions = new Set<Session>();
  const isComplete = () => timers.now() >= options.completeAt;
  const subscriptions = createSubscriptions({
    timers,
    store,
    deltaWindow: options.deltaWindow,
    isComplete,
  });

  const send = (session: Session, message: HomeMessage) =>
    session.channel.send(message);

  function refute(session: Session, existing: Announcement): void {
    send(session, {
      kind: 'refuted',
      known: convertSince(existing, timers.wall()),
    });
  }

  function announce(session: Session, announcement: Announcement): void {
    const {instance} = announcement;
    if (!isUsable(session, announcement)) return;
    session.instance = instance;
    const existing = store.get(instance);
    const order =
      existing === undefined
        ? 1
        : compareAnnouncements(announcement, existing.announcement);
    if (order < 0) {
      if (isDuplicate(announcement, existing!)) leases.contest(instance);
      refute(session, existing!.announcement);
      return;
    }
    if (order > 0) storeRecord(session, announcement);
    if (announcement.state !== 'gone') leases.renew(instance);
  }

  /** Whether two live processes announce the same instance id. */
  function isDuplicate(
    announcement: Announcement,
    existing: RecordEntry,
  ): boolean {
    const {incarnation, gate} = existing.announcement;
    if (existing.goneAt !== undefined) return false;
    return (
      incarnation !== announcement.incarnation && gate !== announcement.gate
    );
  }

  function isUsable(session: Session, announcement: Announcement): boolean {
    const {instance, incarnation, sequence} = announcement;
    const hasValidFields =
      isNonNegativeInteger(incarnation) &&
      isNonNegativeInteger(sequence) &&
      typeof instance === 'string';
    const isSameInstance =
      session.instance === undefined || session.instance === instance;
    if (hasValidFields && isSameInstance) return true;
    log.warn('announcement refused', {
      code: endpointCodes.announcementInvalid.number,
      peer: session.channels.link.peer,
    });
    return false;
  }

  function storeRecord(session: Session, announcement: Announcement): void {
    const record = {
      announcement,
      home: name,
      homeRegion: region,
      expired: false,
      goneFor: 0,
    };
    if (store.merge(record)) {
      peers.push([record]);
      return;
    }
    log.error('table is full', {
      code: endpointCodes.registryFull.number,
      instance: announcement.instance,
      peer: session.channels.link.peer,
    });
  }

  function renew(
    session: Session,
    message: NodeMessage & {kind: 'renew'},
  ): void {
    const {instance} = message;
    if (instance !== undefined) renewLease(session, instance, message);
    session.subscriber.flush();
    send(session, {
      kind: 'renewed',
      complete: isComplete(),
      digest: session.subscriber.digest(),
    });
  }

  function renewLease(
    session: Session,
    instance: string,
    message: NodeMessage & {kind: 'renew'},
  ): void {
    const entry = store.get(instance);
    const existing = entry?.announcement;
    const order =
      existing === undefined
        ? 1
        : message.incarnation! - existing.incarnation ||
          message.sequence! - existing.sequence;
    if (order > 0) send(session, {kind: 'announce-again'});
    else if (order < 0) refute(session, existing!);
    else if (existing!.state !== 'gone') leases.renew(instance);
    else if (entry!.expired) refute(session, existing!);
  }

  /**
   * Sends another home's record of an instance to the node that announces the
   * instance here. Only that node may publish a newer announcement.
   */
  function refuteForeignRecord(entry: RecordEntry): void {
    const {instance} = entry.announcement;
    if (entry.home === name && !entry.expired) return;
    for (const session of sessions) {
      if (session.instance !== instance) continue;
      refute(session, entry.announcement);
    }
  }

  function receive(session: Session, message: NodeMessage): void {
    session.lastReceivedAt = timers.now();
    switch (message.kind) {
      case 'announce':
        return announce(
          session,
          convertSince(message.announcement, timers.wall()),
        );
      case 'renew':
        return renew(session, message);
      case 'subscribe':
        return session.subscriber.subscribe(message.all, message.services);
      case 'unreachable':
        return leases.witness({
          instance: message.instance,
          incarnation: message.incarnation,
          witness: session.instance ?? session.channels.link.peer,
        });
    }
  }

  function remove(session: Session): void {
    if (!sessions.delete(session)) return;
    session.subscriber.end();
    const {instance} = session;
    if (instance === undefined || isLinked(instance)) return;
    leases.onLinkClosed(instance);
  }

  function isLinked(instance: string): boolean {
    for (const session of sessions) {
      if (session.instance === instance) return true;
    }
    return false;
  }

  store.onChange(refuteForeignRecord);

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      const session: Session = {
        channels,
        channel,
        lastReceivedAt: timers.now(),
        instance: undefined,
        subscriber: subscriptions.add(message => channel.send(message)),
      };
      sessions.add(session);
      channel.onMessage(body => {
        if (sessions.has(session)) receive(session, body as NodeMessage);
      });
      channels.onClose(() => remove(session));
    },
    sweep() {
      const now = timers.now();
      for (const session of [...sessions]) {
        if (now - session.lastReceivedAt < options.silenceTimeout) continue;
        session.channels.link.close();
        remove(session);
      }
    },
  };
}

function isNonNegativeInteger(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
