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

/** Options of `createMembership`. */
export interface MembershipOptions {
  readonly announcer: Announcer;
  readonly table: EndpointTable;
  readonly timers: Timers;
  /** Milliseconds between renewals of the lease. */
  readonly renewal: number;
  /** Services that callers reach through this node; `all` by default. */
  readonly services?: readonly string[] | 'all';
}

/** Synchronizes a node's announcement and instance table with its home. */
export interface Membership {
  /** Uses this link from now on; messages of the previous one are ignored. */
  attach(channels: Channels): void;
  /** Sets the subscribed services. */
  subscribe(services: readonly string[] | 'all'): void;
  /** Reports to the home that connections to an instance fail. */
  reportUnreachable(instance: string, incarnation: number): void;
  /** Stops renewing; the announcement stays until it is withdrawn or expires. */
  close(): void;
}

/** Minimum time in milliseconds between two reports of one instance. */
const reportInterval = 5000;

/** Creates the membership of a node. */
export function createMembership(options: MembershipOptions): Membership {
  const {announcer, table, timers, renewal} = options;
  const reportedAt = new Map<string, number>();
  let services = options.services ?? 'all';
  let channel: Channel | undefined;

  const send = (message: NodeMessage) => channel?.send(message);

  function sendSubscription(): void {
    const listed = table.serviceDigests();
    if (services === 'all') {
      send({kind: 'subscribe', all: true, services: listed});
      return;
    }
    const digests = new Map(listed.map(item => [item.service, item.digest]));
    const requested = services.map(service => ({
      service,
      digest: digests.get(service) ?? {low: 0, high: 0},
    }));
    send({kind: 'subscribe', all: false, services: requested});
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
        return announcer.supersede(fromMessage(message.known));
      case 'announce-again':
        return announceAgain();
      case 'section':
        return table.mergeSection(
          message.service,
          message.complete,
          message.instances.map(fromMessage),
        );
      case 'delta':
        return table.mergeDelta(message.instances.map(fromMessage));
      case 'renewed':
        // Detects a lost delta after at most one renewal interval.
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

  const fromMessage = (known: KnownInstance) =>
    convertSince(known, timers.wall());

  function tick(): void {
    renew();
    table.sweep();
    for (const [instance, at] of reportedAt) {
      if (timers.now() - at >= reportInterval) reportedAt.delete(instance);
    }
  }

  announcer.onChange(sendAnnouncement);
  const ticks = timers.every(renewal, tick);
  table.subscribe(services);

  return {
    attach(channels) {
      const newChannel = channels.on('endpoints');
      channel = newChannel;
      newChannel.onMessage(body => {
        if (channel === newChannel) receive(body as HomeMessage);
      });
      channels.onClose(() => {
        if (channel === newChannel) channel = undefined;
      });
      const previous = announcer.current();
      announcer.refresh();
      if (announcer.current() === previous) announceAgain();
      sendSubscription();
    },
    subscribe(next) {
      services = next;
      table.subscribe(next);
      sendSubscription();
    },
    reportUnreachable(instance, incarnation) {
      if (reportedAt.has(instance)) return;
      reportedAt.set(instance, timers.now());
      send({kind: 'unreachable', instance, incarnation});
    },
    close: () => ticks.cancel(),
  };
}
