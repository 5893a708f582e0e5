/** Sends questions to keepers over links that are opened on first use. */
import type {Keeper} from '../configuration/configuration.js';
import type {Address, Link, Network} from '../link/link.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Question, Reply, ReplyEnvelope} from './messages.js';

/** A reply of a keeper, or the fact that none will come. */
export type KeeperResponse = Reply | {readonly kind: 'unreachable'};

/** Asks keepers; all questions to one keeper share one link. */
export interface KeeperClient {
  /**
   * Sends a question. `receive` may be called several times until the
   * subscription is cancelled; `unreachable` is the last call.
   */
  ask(
    keeper: Keeper,
    question: Question,
    receive: (response: KeeperResponse) => void,
  ): Subscription;
  /** Closes the link to a keeper that does not answer. */
  drop(keeper: Keeper): void;
  stop(): void;
}

interface KeeperConnection {
  link: Link | undefined;
  /** Time before which no new link is opened. */
  retryAt: number;
  unsent: Array<(link: Link) => void>;
  readonly pending: Map<number, (response: KeeperResponse) => void>;
}

/**
 * Milliseconds after a failed connection during which questions fail at once.
 */
const reconnectDelay = 200;

/** Creates the client through which one process asks keepers. */
export function createKeeperClient(
  network: Network,
  timers: Timers,
): KeeperClient {
  const connections = new Map<Address, KeeperConnection>();
  let lastId = 0;
  let isStopped = false;

  function fail(connection: KeeperConnection): void {
    connection.link = undefined;
    connection.unsent = [];
    const receivers = [...connection.pending.values()];
    connection.pending.clear();
    for (const receive of receivers) receive({kind: 'unreachable'});
  }

  function open(connection: KeeperConnection, link: Link): void {
    connection.link = link;
    link.onMessage(message => {
      const {id, reply} = message as ReplyEnvelope;
      connection.pending.get(id)?.(reply);
    });
    link.onClose(() => {
      if (connection.link === link) fail(connection);
    });
    for (const send of connection.unsent.splice(0)) send(link);
    if (isStopped) link.close();
  }

  function connect(address: Address, connection: KeeperConnection): void {
    network.connect(address).then(
      link => open(connection, link),
      () => {
        connection.retryAt = timers.now() + reconnectDelay;
        fail(connection);
      },
    );
  }

  function send(
    address: Address,
    connection: KeeperConnection,
    message: unknown,
  ): void {
    if (connection.link !== undefined) return connection.link.send(message);
    connection.unsent.push(link => link.send(message));
    if (connection.unsent.length === 1) connect(address, connection);
  }

  function find(address: Address): KeeperConnection {
    let connection = connections.get(address);
    if (connection === undefined) {
      connection = {
        link: undefined,
        retryAt: 0,
        unsent: [],
        pending: new Map(),
      };
      connections.set(address, connection);
    }
    return connection;
  }

  return {
    ask(keeper, question, receive) {
      const connection = find(keeper.address);
      const isBackingOff =
        connection.link === undefined && connection.retryAt > timers.now();
      if (isStopped || isBackingOff) {
        const failure = timers.after(0, () => receive({kind: 'unreachable'}));
        return failure;
      }
      const id = ++lastId;
      connection.pending.set(id, receive);
      const {incarnation} = keeper;
      send(keeper.address, connection, {id, incarnation, question});
      return {cancel: () => void connection.pending.delete(id)};
    },
    drop(keeper) {
      const connection = connections.get(keeper.address);
      const link = connection?.link;
      if (connection === undefined || link === undefined) return;
      fail(connection);
      link.close();
    },
    stop() {
      isStopped = true;
      for (const connection of connections.values()) connection.link?.close();
    },
  };
}
