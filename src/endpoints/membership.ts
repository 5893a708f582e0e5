import type {Channel, Channels} from '../link/channel.js';
import type {Timers} from '../time/timers.js';
import type {Announcer} from './announcer.js';
import {equalDigests} from './digest.js';
import type {EndpointTable} from './endpoint-table.js';
import type {
  Announcement,
  HomeMessage,
  KnownInstance,
  NodeMessage,
} from './messages.js';
import {convertSince} from './since-conversion.js';

/** Settings of a node's part in membership. */
export interface MembershipOptions {
  readonly announcer: Announcer;
  readonly table: EndpointTable;
  readonly timers: Timers;
  /** Milliseconds between renewals of the lease. */
  readonly renewal: number;
  /** Services that callers reach through this node; `all` by default. */
  readonly services?: readonly string[] | 'all';
}

/** Keeps the node's announcement and its table in step with its home. */
export interface Membership {
  /** Takes a link to a home; the one before is no longer listened to. */
  attach(channels: Channels): void;
  /** Sets the services that the node calls. */
  subscribe(services: readonly string[] | 'all'): void;
  /** Tells the home that connections to an instance fail. */
  reportUnreachable(instance: string, incarnation: number): void;
  /** Stops renewing; what was announced stays until it is taken back. */
  close(): void;
}

/** Milliseconds between two reports of one instance. */
const reportInterval = 5000;

/** Creates a node's part in membership. */
export function createMembership(options: MembershipOptions): Membership {
  const {announcer, table, timers, renewal} = options;
  const reports = new Map<string, number>();
  let services = options.services ?? 'all';
  let channel: Channel | undefined;

  const send = (message: NodeMessage) => channel?.send(message);

  function sendSubscription(): void {
    const known = table.serviceDigests();
    if (services === 'all') {
      send({kind: 'subscribe', all: true, services: known});
      return;
    }
    const digests = new Map(known.map(one => [one.service, one.digest]));
    const wanted = services.map(service => ({
      service,
      digest: digests.get(service) ?? {low: 0, high: 0},
    }));
    send({kind: 'subscribe', all: false, services: wanted});
  }

  function renew(): void {
    const current = announcer.current();
    if (current === undefined) {
      send({kind: 'renew'});
      return;
    }
    const {instance, incarnation, sequence} = current;
    send({kind: 'renew', instance, incarnation, sequence});
  }

  function receive(message: HomeMessage): void {
    switch (message.kind) {
      case 'refuted':
        return announcer.supersede(received(message.known));
      case 'announce-again':
        return announceAgain();
      case 'section':
        return table.mergeSection(
          message.service,
          message.complete,
          message.instances.map(received),
        );
      case 'delta':
        return table.mergeDelta(message.instances.map(received));
      case 'renewed':
        // A delta that was lost shows here, one renewal later at most.
        if (message.complete && !equalDigests(message.digest, table.digest())) {
          sendSubscription();
        }
    }
  }

  function announceAgain(): void {
    const current = announcer.current();
    if (current !== undefined) sendAnnouncement(current);
  }

  function sendAnnouncement(announcement: Announcement): void {
    send({
      kind: 'announce',
      announcement: convertSince(announcement, timers.wall()),
    });
  }

  const received = (known: KnownInstance) => convertSince(known, timers.wall());

  function tick(): void {
    renew();
    table.sweep();
    for (const [instance, at] of reports) {
      if (timers.now() - at >= reportInterval) reports.delete(instance);
    }
  }

  announcer.onChange(sendAnnouncement);
  const ticking = timers.every(renewal, tick);
  table.subscribe(services);

  return {
    attach(channels) {
      const own = channels.on('endpoints');
      channel = own;
      own.onMessage(body => {
        if (channel === own) receive(body as HomeMessage);
      });
      channels.onClose(() => {
        if (channel === own) channel = undefined;
      });
      const before = announcer.current();
      announcer.refresh();
      if (announcer.current() === before) announceAgain();
      sendSubscription();
    },
    subscribe(next) {
      services = next;
      table.subscribe(next);
      sendSubscription();
    },
    reportUnreachable(instance, incarnation) {
      if (reports.has(instance)) return;
      reports.set(instance, timers.now());
      send({kind: 'unreachable', instance, incarnation});
    },
    close: () => ticking.cancel(),
  };
}
