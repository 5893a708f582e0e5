import type {Channel, Channels} from '../../src/link/channel.js';
import type {Timers} from '../../src/time/timers.js';
import type {Announcement, NodeMessage} from '../../src/endpoints/messages.js';

/**
 * The baseline: a home that forwards each renewal, with the whole announcement,
 * to all homes and all nodes, and lets each silent instance expire by itself.
 */

interface Held {
  announcement: Announcement;
  until: number;
}

/** A home without digests, subscriptions or batches. */
export interface NaiveRegistry {
  accept(channels: Channels): void;
  peer(channels: Channels): void;
}

const lease = 10_000;

/** Creates the baseline's home. */
export function createNaiveRegistry(timers: Timers): NaiveRegistry {
  const held = new Map<string, Held>();
  const nodes = new Set<Channel>();
  const peers = new Set<Channel>();

  function spread(announcement: Announcement): void {
    for (const node of nodes) {
      node.send({kind: 'delta', instances: [announcement]});
    }
  }

  function keep(announcement: Announcement): void {
    held.set(announcement.instance, {
      announcement,
      until: timers.now() + lease,
    });
    spread(announcement);
  }

  function receive(message: NodeMessage): void {
    if (message.kind === 'announce') takeOwn(message.announcement);
    if (message.kind !== 'renew' || message.instance === undefined) return;
    const known = held.get(message.instance);
    if (known !== undefined) takeOwn(known.announcement);
  }

  function takeOwn(announcement: Announcement): void {
    keep(announcement);
    for (const peer of peers) peer.send(announcement);
  }

  timers.every(1000, () => {
    for (const [instance, {announcement, until}] of held) {
      if (until > timers.now()) continue;
      held.delete(instance);
      spread({...announcement, state: 'gone'});
    }
  });

  return {
    accept(channels) {
      const channel = channels.on('endpoints');
      nodes.add(channel);
      channel.onMessage(body => receive(body as NodeMessage));
      channels.onClose(() => nodes.delete(channel));
      const instances = [...held.values()].map(one => one.announcement);
      channel.send({kind: 'delta', instances});
    },
    peer(channels) {
      const channel = channels.on('endpoints');
      peers.add(channel);
      channel.onMessage(body => keep(body as Announcement));
      channels.onClose(() => peers.delete(channel));
    },
  };
}
