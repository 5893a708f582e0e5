import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Subscription, Timers} from '../time/timers.js';
import {endpointCodes} from './codes.js';
import {emptyDigest, equalDigests, toggle} from './digest.js';
import type {Digest} from './digest.js';
import type {Leases} from './leases.js';
import type {
  Announcement,
  HomeMessage,
  NodeMessage,
  ServiceDigest,
} from './messages.js';
import {compareAnnouncements} from './order.js';
import type {Peers} from './peers.js';
import {toKnown} from './record-store.js';
import type {Entry, RecordStore} from './record-store.js';
import {turnSince} from './transit.js';

/** Settings of a home's links to its nodes; times in milliseconds. */
export interface NodeSessionsOptions {
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  readonly store: RecordStore;
  readonly peers: Peers;
  readonly leases: Leases;
  /** How long changes are gathered before they are sent. */
  readonly window: number;
  /** Silence after which a node's link is closed. */
  readonly silence: number;
  /** When every live instance has had the time to be announced here. */
  readonly completeAt: number;
}

/** A home's links to its nodes. */
export interface NodeSessions {
  accept(channels: Channels): void;
  /** Closes links that are silent. */
  sweep(): void;
}

interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  lastHeard: number;
  /** The one instance that this node announces. */
  instance: string | undefined;
  services: ReadonlySet<string> | 'all';
  /** Instances that changed since the last delta. */
  readonly pending: Set<string>;
  flush: Subscription | undefined;
  flushedAt: number;
}

/** Creates a home's links to its nodes. */
export function createNodeSessions(options: NodeSessionsOptions): NodeSessions {
  const {name, region, timers, log, store, peers, leases} = options;
  const sessions = new Set<Session>();
  const takers = new Map<string, Set<Session>>();
  const takersOfAll = new Set<Session>();

  const send = (session: Session, message: HomeMessage) =>
    session.channel.send(message);

  const onWire = (entry: Entry) => turnSince(toKnown(entry), timers.wall());

  function refute(session: Session, known: Announcement): void {
    send(session, {kind: 'refuted', known: turnSince(known, timers.wall())});
  }

  const isComplete = () => timers.now() >= options.completeAt;

  function announce(session: Session, announcement: Announcement): void {
    const {instance} = announcement;
    if (!isUsable(session, announcement)) return;
    session.instance = instance;
    const known = store.get(instance);
    const order =
      known === undefined
        ? 1
        : compareAnnouncements(announcement, known.announcement);
    if (order < 0) {
      if (isRival(announcement, known!)) leases.contest(instance);
      refute(session, known!.announcement);
      return;
    }
    if (order > 0) keep(session, announcement);
    if (announcement.state !== 'gone') leases.renew(instance);
  }

  /** Whether two processes claim one instance id. */
  function isRival(announcement: Announcement, known: Entry): boolean {
    const {incarnation, gate} = known.announcement;
    if (known.goneAt !== undefined) return false;
    return (
      incarnation !== announcement.incarnation && gate !== announcement.gate
    );
  }

  function isUsable(session: Session, announcement: Announcement): boolean {
    const {instance, incarnation, sequence} = announcement;
    const numbers =
      isCount(incarnation) && isCount(sequence) && typeof instance === 'string';
    const own = session.instance === undefined || session.instance === instance;
    if (numbers && own) return true;
    log.warn('announcement refused', {
      code: endpointCodes.announcementInvalid.number,
      peer: session.channels.link.peer,
    });
    return false;
  }

  function keep(session: Session, announcement: Announcement): void {
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
    flush(session);
    send(session, {
      kind: 'renewed',
      complete: isComplete(),
      digest: digestFor(session),
    });
  }

  function renewLease(
    session: Session,
    instance: string,
    message: NodeMessage & {kind: 'renew'},
  ): void {
    const entry = store.get(instance);
    const known = entry?.announcement;
    const order =
      known === undefined
        ? 1
        : message.incarnation! - known.incarnation ||
          message.sequence! - known.sequence;
    if (order > 0) send(session, {kind: 'announce-again'});
    else if (order < 0) refute(session, known!);
    else if (known!.state !== 'gone') leases.renew(instance);
    else if (entry!.expired) refute(session, known!);
  }

  function digestFor(session: Session): Digest {
    if (session.services === 'all') return store.viewDigest();
    let sum = emptyDigest;
    for (const service of session.services) {
      sum = toggle(sum, store.serviceDigest(service));
    }
    return sum;
  }

  function subscribe(
    session: Session,
    all: boolean,
    listed: readonly ServiceDigest[],
  ): void {
    unsubscribe(session);
    session.services = all ? 'all' : new Set(listed.map(one => one.service));
    if (all) takersOfAll.add(session);
    else for (const {service} of listed) takersOf(service).add(session);
    session.pending.clear();
    const digests = new Map(listed.map(one => [one.service, one.digest]));
    const services = all
      ? new Set([...store.services(), ...digests.keys()])
      : digests.keys();
    for (const service of services) {
      const theirs = digests.get(service) ?? emptyDigest;
      if (equalDigests(theirs, store.serviceDigest(service))) continue;
      sendSection(session, service);
    }
  }

  function sendSection(session: Session, service: string): void {
    const instances = [...store.ofService(service)].map(onWire);
    const complete = isComplete();
    send(session, {kind: 'section', service, complete, instances});
  }

  function takersOf(service: string): Set<Session> {
    const set = takers.get(service) ?? new Set();
    takers.set(service, set);
    return set;
  }

  function unsubscribe(session: Session): void {
    takersOfAll.delete(session);
    if (session.services === 'all') return;
    for (const service of session.services) {
      const set = takersOf(service);
      set.delete(session);
      if (set.size === 0) takers.delete(service);
    }
  }

  function flush(session: Session): void {
    session.flush?.cancel();
    session.flush = undefined;
    if (session.pending.size === 0) return;
    const instances = [...session.pending]
      .map(instance => store.get(instance))
      .filter(entry => entry !== undefined)
      .map(onWire);
    session.pending.clear();
    session.flushedAt = timers.now();
    send(session, {kind: 'delta', instances});
  }

  function mark(session: Session, instance: string): void {
    session.pending.add(instance);
    if (session.flush !== undefined) return;
    // The first change after a quiet time leaves at once, more are gathered.
    const due = session.flushedAt + options.window - timers.now();
    session.flush = timers.after(Math.max(0, due), () => flush(session));
  }

  function spread(entry: Entry, before: Entry | undefined): void {
    const {instance, service} = entry.announcement;
    const left = before?.announcement.service ?? service;
    for (const session of takersOfAll) mark(session, instance);
    for (const session of takers.get(service) ?? []) mark(session, instance);
    if (left === service) return;
    for (const session of takers.get(left) ?? []) mark(session, instance);
  }

  /**
   * Another home's record of an instance whose node is linked here: the node
   * alone may answer it, and does so by rising above it.
   */
  function answerStranger(entry: Entry): void {
    const {instance} = entry.announcement;
    if (entry.home === name && !entry.expired) return;
    for (const session of sessions) {
      if (session.instance !== instance) continue;
      refute(session, entry.announcement);
    }
  }

  function receive(session: Session, message: NodeMessage): void {
    session.lastHeard = timers.now();
    switch (message.kind) {
      case 'announce':
        return announce(
          session,
          turnSince(message.announcement, timers.wall()),
        );
      case 'renew':
        return renew(session, message);
      case 'subscribe':
        return subscribe(session, message.all, message.services);
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
    unsubscribe(session);
    session.flush?.cancel();
    const {instance} = session;
    if (instance === undefined || isLinked(instance)) return;
    leases.closed(instance);
  }

  function isLinked(instance: string): boolean {
    for (const session of sessions) {
      if (session.instance === instance) return true;
    }
    return false;
  }

  store.onChange((entry, before) => {
    spread(entry, before);
    answerStranger(entry);
  });

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      const session: Session = {
        channels,
        channel,
        lastHeard: timers.now(),
        instance: undefined,
        services: new Set(),
        pending: new Set(),
        flush: undefined,
        flushedAt: -Infinity,
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
        if (now - session.lastHeard < options.silence) continue;
        session.channels.link.close();
        remove(session);
      }
    },
  };
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
