import type {Link, Listener, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import {createSilenceWatch} from '../time/silence-watch.js';
import type {SilenceWatch} from '../time/silence-watch.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Member} from './consensus.js';
import type {Hello, Message, Ping} from './messages.js';

/** Options of createPeers; times in milliseconds. */
export interface PeersOptions {
  readonly self: Member;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Minimum delay before a lost link is opened again. */
  readonly reconnectDelay: number;
  /** Time without a message after which a link is closed and opened again. */
  readonly silenceTimeout: number;
  /** Returns the hello to send at present. */
  readonly hello: () => Hello;
  /** Called for each hello; a process may send several on one link. */
  readonly onHello: (hello: Hello) => void;
  readonly onMessage: (hello: Hello, message: Message) => void;
  /** Called when the link from a process was closed. */
  readonly onDisconnected: (hello: Hello) => void;
}

/** Links to and from the other members. */
export interface Peers {
  /** Opens a link to a member and reopens it whenever it is lost. */
  maintainLink(member: Member): void;
  /**
   * Sends a message, or drops it when there is no link or too much is unsent.
   */
  send(name: string, message: Message): void;
  /**
   * Sends the present hello again, to all or to those that `isRecipient`
   * selects.
   */
  announce(isRecipient?: (name: string) => boolean): void;
  /** Bytes sent to all members since the start. */
  readonly bytesOut: number;
  stop(): Promise<void>;
}

/** Maximum unsent bytes on one link before messages are dropped. */
const maxPendingBytes = 8 * 1024 * 1024;
/** Number of pings within `silenceTimeout`. */
const pingsPerTimeout = 3;
/**
 * Maximum factor by which the delay grows for a member that stays unreachable.
 * The delay is part of the time until a member that can be reached again
 * receives what is accepted.
 */
const maxBackoffFactor = 5;

interface OutgoingLink {
  member: Member;
  link: Link | undefined;
  retryTimer: Subscription | undefined;
  /** Connection attempts since the last message. */
  attempts: number;
  /** Detects that the other end no longer sends messages. */
  watch: SilenceWatch;
  isWanted: boolean;
}

/**
 * Listens for members and opens links to them. Each member sends on the links
 * that it opened and receives on those that it accepted, so that a network cut
 * in one direction stops the messages of that direction only.
 */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const {self, network, timers, random, log, reconnectDelay} = options;
  const checkPeriod = options.silenceTimeout / pingsPerTimeout;
  const outgoing = new Map<string, OutgoingLink>();
  const accepted = new Set<Link>();
  let closedBytes = 0;
  let isStopped = false;

  const createWatch = () =>
    createSilenceWatch(timers, checkPeriod, options.silenceTimeout);

  function dial(target: OutgoingLink): void {
    if (isStopped || !target.isWanted) return;
    const {address, name} = target.member;
    network.connect(address).then(
      link => onOpened(target, link),
      () => {
        log.debug('connecting to member failed', {member: name, address});
        scheduleDial(target);
      },
    );
  }

  function scheduleDial(target: OutgoingLink): void {
    const backoff = Math.min(2 ** target.attempts++, maxBackoffFactor);
    const delay = reconnectDelay * backoff * (1 + random.fraction());
    target.retryTimer = timers.after(delay, () => {
      target.retryTimer = undefined;
      dial(target);
    });
  }

  /** Reconnects at once when a member is announced while its link is down. */
  function dialNow(target: OutgoingLink): void {
    if (target.retryTimer === undefined) return;
    target.retryTimer.cancel();
    target.retryTimer = undefined;
    target.attempts = 0;
    dial(target);
  }

  /**
   * After a network cut the operating system's retransmissions are up to as far
   * apart as the cut has lasted, so a member that is reachable again would stay
   * disconnected for that long. A link without messages is therefore opened
   * again.
   */
  function checkLink(target: OutgoingLink): void {
    const {link} = target;
    if (link === undefined) return;
    if (target.watch.check() !== 'silent') {
      link.send({kind: 'ping'});
      return;
    }
    log.warn('no message on link to member; opening it again', {
      member: target.member.name,
    });
    detachLink(target, link);
    link.close();
  }

  function detachLink(target: OutgoingLink, link: Link): void {
    if (target.link !== link) return;
    target.link = undefined;
    log.info('link to member closed', {member: target.member.name});
    closedBytes += link.bytesOut;
    if (target.isWanted) scheduleDial(target);
  }

  function onOpened(target: OutgoingLink, link: Link): void {
    if (isStopped || !target.isWanted) {
      link.close();
      return;
    }
    target.link = link;
    log.info('link to member opened', {member: target.member.name});
    target.watch = createWatch();
    link.onMessage(() => {
      target.attempts = 0;
      target.watch.recordActivity();
    });
    link.onClose(() => detachLink(target, link));
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
        // The sender is unknown without a hello; it will open a new link.
        link.close();
      }
    });
    link.onClose(() => {
      accepted.delete(link);
      if (hello !== undefined && !isStopped) options.onDisconnected(hello);
    });
  }

  function abandon(target: OutgoingLink): void {
    target.isWanted = false;
    target.retryTimer?.cancel();
    target.link?.close();
  }

  const listener: Listener = await network.listen(self.address, accept);
  const linkChecks = timers.every(checkPeriod, () => {
    for (const target of outgoing.values()) checkLink(target);
  });

  return {
    maintainLink(member) {
      if (member.name === self.name) return;
      const existing = outgoing.get(member.name);
      if (existing?.member.address === member.address) {
        dialNow(existing);
        return;
      }
      if (existing !== undefined) abandon(existing);
      const target: OutgoingLink = {
        member,
        link: undefined,
        retryTimer: undefined,
        attempts: 0,
        watch: createWatch(),
        isWanted: true,
      };
      outgoing.set(member.name, target);
      dial(target);
    },
    send(name, message) {
      const link = outgoing.get(name)?.link;
      if (link === undefined || link.pending > maxPendingBytes) return;
      link.send(message);
    },
    announce(isRecipient = () => true) {
      for (const {member, link} of outgoing.values()) {
        if (isRecipient(member.name)) link?.send(options.hello());
      }
    },
    get bytesOut() {
      let sum = closedBytes;
      for (const {link} of outgoing.values()) sum += link?.bytesOut ?? 0;
      return sum;
    },
    async stop() {
      isStopped = true;
      linkChecks.cancel();
      for (const target of outgoing.values()) abandon(target);
      for (const link of accepted) link.close();
      await listener.close();
    },
  };
}
