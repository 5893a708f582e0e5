import type {Channel, Channels} from '../../src/link/channel.js';
import type {Timers} from '../../src/time/timers.js';
import type {Announcement, NodeMessage} from '../../src/endpoints/messages.js';

/**
 * The baseline: a home that forwards each renewal, with the complete
 * announcement, to all homes and all nodes. An instance without renewals
 * expires at each home separately.
 */

interface Lease {
  announcement: Announcement;
  expiresAt: number;
}

/** A registry without digests, subscriptions or batching. */
export interface NaiveRegistry {
  accept(channels: Channels): void;
  peer(channels: Channels): void;
}

const leaseDuration = 10_000;

/** Creates the baseline registry. */
export function createNaiveRegistry(timers: Timers): NaiveRegistry {
  const leases = new Map<string, Lease>();
  const nodes = new Set<Channel>();
  const peers = new Set<Channel>();

  function broadcast(announcement: Announcement): void {
    for (const node of nodes) {
      node.send({kind: 'delta', instances: [announcement]});
    }
  }

  function store(announcement: Announcement): void {
    leases.set(announcement.instance, {
      announcement,
      expiresAt: timers.now() + leaseDuration,
    });
    broadcast(announcement);
  }

  function receive(message: NodeMessage): void {
    if (message.kind === 'announce') acceptFromNode(message.announcement);
    if (message.kind !== 'renew' || message.instance === undefined) return;
    const lease = leases.get(message.instance);
    if (lease !== undefined) acceptFromNode(lease.announcement);
  }

  function acceptFromNode(announcement: Announcement): void {
    store(announcement);
    for (const peer of peers) peer.send(announcement);
  }

  timers.every(1000, () => {
    for (const [instance, {announcement, expiresAt}] of leases) {
      if (expiresAt > timers.now()) continue;
      leases.delete(instance);
      broadcast({...announcement, state: 'gone'});
    }
  });

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      nodes.add(channel);
      channel.onMessage(body => receive(body as NodeMessage));
      channels.onClose(() => nodes.delete(channel));
      const instances = [...leases.values()].map(one => one.announcement);
      channel.send({kind: 'delta', instances});
    },
    peer(channels) {
      const channel = channels.on('endpoints');
      peers.add(channel);
      channel.onMessage(body => store(body as Announcement));
      channels.onClose(() => peers.delete(channel));
    },
  };
}
