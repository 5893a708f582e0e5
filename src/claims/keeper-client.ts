/** Questions to keepers over links that are opened when first needed. */
import type {Keeper} from '../configuration/configuration.js';
import type {Address, Link, Network} from '../link/link.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Question, Reply, ReplyEnvelope} from './messages.js';

/** What an asker hears: replies, or that none will come. */
export type KeeperResponse = Reply | {readonly kind: 'unreachable'};

/** Asks keepers; one link per keeper, however many questions. */
export interface KeeperClient {
  /**
   * Sends a question. `receive` may be called more than once, until cancelled;
   * after `unreachable` it is not called again.
   */
  ask(
    keeper: Keeper,
    question: Question,
    receive: (hearing: KeeperResponse) => void,
  ): Subscription;
  /** Closes the link to a keeper that does not answer. */
  disconnect(keeper: Keeper): void;
  stop(): void;
}

interface Peer {
  link: Link | undefined;
  /** Until when no new connection is tried. */
  restUntil: number;
  unsent: Array<(link: Link) => void>;
  readonly asked: Map<number, (hearing: KeeperResponse) => void>;
}

/** Milliseconds after a failed connection in which questions fail at once. */
const rest = 200;

/** Creates the links of one process to keepers. */
export function createKeeperClient(
  network: Network,
  timers: Timers,
): KeeperClient {
  const peers = new Map<Address, Peer>();
  let lastId = 0;
  let stopped = false;

  function fail(peer: Peer): void {
    peer.link = undefined;
    peer.unsent = [];
    const asked = [...peer.asked.values()];
    peer.asked.clear();
    for (const receive of asked) receive({kind: 'unreachable'});
  }

  function open(peer: Peer, link: Link): void {
    peer.link = link;
    link.onMessage(message => {
      const {id, reply} = message as ReplyEnvelope;
      peer.asked.get(id)?.(reply);
    });
    link.onClose(() => {
      if (peer.link === link) fail(peer);
    });
    for (const send of peer.unsent.splice(0)) send(link);
    if (stopped) link.close();
  }

  function connect(address: Address, peer: Peer): void {
    network.connect(address).then(
      link => open(peer, link),
      () => {
        peer.restUntil = timers.now() + rest;
        fail(peer);
      },
    );
  }

  function send(address: Address, peer: Peer, message: unknown): void {
    if (peer.link !== undefined) return peer.link.send(message);
    peer.unsent.push(link => link.send(message));
    if (peer.unsent.length === 1) connect(address, peer);
  }

  function find(address: Address): Peer {
    let peer = peers.get(address);
    if (peer === undefined) {
      peer = {link: undefined, restUntil: 0, unsent: [], asked: new Map()};
      peers.set(address, peer);
    }
    return peer;
  }

  return {
    ask(keeper, question, receive) {
      const peer = find(keeper.address);
      const isResting =
        peer.link === undefined && peer.restUntil > timers.now();
      if (stopped || isResting) {
        const soon = timers.after(0, () => receive({kind: 'unreachable'}));
        return soon;
      }
      const id = ++lastId;
      peer.asked.set(id, receive);
      const {incarnation} = keeper;
      send(keeper.address, peer, {id, incarnation, question});
      return {cancel: () => void peer.asked.delete(id)};
    },
    disconnect(keeper) {
      const peer = peers.get(keeper.address);
      const link = peer?.link;
      if (peer === undefined || link === undefined) return;
      fail(peer);
      link.close();
    },
    stop() {
      stopped = true;
      for (const peer of peers.values()) peer.link?.close();
    },
  };
}
