import type {Link, Listener, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Member} from './consensus.js';
import type {Hello, Message, Ping} from './messages.js';

/** What the links between members need. */
export interface PeersOptions {
  readonly self: Member;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Milliseconds before a lost link is tried again, at least. */
  readonly reconnectDelay: number;
  /** Milliseconds without a sign of life after which a link is opened anew. */
  readonly silenceTimeout: number;
  /** The hello that is current. */
  readonly hello: () => Hello;
  /** A member introduced itself, perhaps again. */
  readonly onHello: (hello: Hello) => void;
  readonly onMessage: (hello: Hello, message: Message) => void;
  /** The link from a member ended. */
  readonly onDisconnected: (hello: Hello) => void;
}

/** Links to and from the other members. */
export interface Peers {
  /** Keeps a link to a member from now on. */
  maintainLink(member: Member): void;
  /** Sends if there is a link that takes it; else drops the message. */
  send(name: string, message: Message): void;
  /** Sends the current hello again, to all or to those that `concerns` chooses. */
  announce(concerns?: (name: string) => boolean): void;
  /** Bytes sent to all members so far. */
  readonly bytesOut: number;
  stop(): Promise<void>;
}

/** Bytes that may wait for the wire on one link before messages are dropped. */
const pendingLimit = 8 * 1024 * 1024;
/** Signs of life that are asked for within the time of silence. */
const pingsPerSilence = 5;
/** A member that stays away is tried less often, up to this many times. */
const longestBackoff = 20;

interface Outgoing {
  member: Member;
  link: Link | undefined;
  retry: Subscription | undefined;
  /** Attempts since the last sign of life. */
  attempts: number;
  /** When the other end last gave a sign of life. */
  heardAt: number;
  isKept: boolean;
}

/**
 * Listens for members and links to them. Each member sends on the links that it
 * opened itself and receives on those that it accepted, so that a cut in one
 * direction shows as one.
 */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const {
    self,
    network,
    timers,
    random,
    log,
    reconnectDelay: reconnect,
  } = options;
  const outgoing = new Map<string, Outgoing>();
  const accepted = new Set<Link>();
  let closedBytes = 0;
  let isStopped = false;

  function dial(target: Outgoing): void {
    if (isStopped || !target.isKept) return;
    const {address, name} = target.member;
    network.connect(address).then(
      link => opened(target, link),
      () => {
        log.debug('no link to member', {member: name, address});
        redial(target);
      },
    );
  }

  function redial(target: Outgoing): void {
    const backoff = Math.min(2 ** target.attempts++, longestBackoff);
    const delay = reconnect * backoff * (1 + random.fraction());
    target.retry = timers.after(delay, () => {
      target.retry = undefined;
      dial(target);
    });
  }

  /** Tries a member at once that was heard of while its link is down. */
  function hurry(target: Outgoing): void {
    if (target.retry === undefined) return;
    target.retry.cancel();
    target.retry = undefined;
    target.attempts = 0;
    dial(target);
  }

  /**
   * After a long silent cut the system's own retransmissions come minutes
   * apart, and a member that could be reached again would stay alone so long.
   * A link without signs of life is therefore opened anew.
   */
  function checkLink(target: Outgoing): void {
    const {link} = target;
    if (link === undefined) return;
    if (timers.now() - target.heardAt < options.silenceTimeout) {
      link.send({kind: 'ping'});
      return;
    }
    log.warn('silent link to member', {member: target.member.name});
    lose(target, link);
    link.close();
  }

  function lose(target: Outgoing, link: Link): void {
    if (target.link !== link) return;
    target.link = undefined;
    closedBytes += link.bytesOut;
    if (target.isKept) redial(target);
  }

  function opened(target: Outgoing, link: Link): void {
    if (isStopped || !target.isKept) {
      link.close();
      return;
    }
    target.link = link;
    target.heardAt = timers.now();
    link.onMessage(() => {
      target.attempts = 0;
      target.heardAt = timers.now();
    });
    link.onClose(() => lose(target, link));
    link.send(options.hello());
  }

  function accept(link: Link): void {
    if (isStopped) {
      link.close();
      return;
    }
    let hello: Hello | undefined;
    accepted.add(link);
    link.onMessage(body => {
      if (isStopped) return;
      const message = body as Hello | Ping | Message;
      if (message.kind === 'ping') {
        link.send(message);
      } else if (message.kind === 'hello') {
        hello = message;
        options.onHello(hello);
      } else if (hello !== undefined) {
        options.onMessage(hello, message);
      } else {
        // Whose messages these are is unknown; the sender opens a new link.
        link.close();
      }
    });
    link.onClose(() => {
      accepted.delete(link);
      if (hello !== undefined && !isStopped) options.onDisconnected(hello);
    });
  }

  function drop(target: Outgoing): void {
    target.isKept = false;
    target.retry?.cancel();
    target.link?.close();
  }

  const listener: Listener = await network.listen(self.address, accept);
  const checking = timers.every(
    options.silenceTimeout / pingsPerSilence,
    () => {
      for (const target of outgoing.values()) checkLink(target);
    },
  );

  return {
    maintainLink(member) {
      if (member.name === self.name) return;
      const known = outgoing.get(member.name);
      if (known?.member.address === member.address) {
        hurry(known);
        return;
      }
      if (known !== undefined) drop(known);
      const target: Outgoing = {
        member,
        link: undefined,
        retry: undefined,
        attempts: 0,
        heardAt: timers.now(),
        isKept: true,
      };
      outgoing.set(member.name, target);
      dial(target);
    },
    send(name, message) {
      const link = outgoing.get(name)?.link;
      if (link === undefined || link.pending > pendingLimit) return;
      link.send(message);
    },
    announce(concerns = () => true) {
      for (const {member, link} of outgoing.values()) {
        if (concerns(member.name)) link?.send(options.hello());
      }
    },
    get bytesOut() {
      let sum = closedBytes;
      for (const {link} of outgoing.values()) sum += link?.bytesOut ?? 0;
      return sum;
    },
    async stop() {
      isStopped = true;
      checking.cancel();
      for (const target of outgoing.values()) drop(target);
      for (const link of accepted) link.close();
      await listener.close();
    },
  };
}
