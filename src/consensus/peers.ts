import type {Link, Listener, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Member} from './consensus.js';
import type {Hello, Message} from './messages.js';

/** What the links between members need. */
export interface PeersOptions {
  readonly self: Member;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Milliseconds before a lost link is tried again, at least. */
  readonly reconnect: number;
  /** The hello that is current. */
  readonly hello: () => Hello;
  /** A member introduced itself, perhaps again. */
  readonly onHello: (hello: Hello) => void;
  readonly onMessage: (hello: Hello, message: Message) => void;
  /** The link from a member ended. */
  readonly onParted: (hello: Hello) => void;
}

/** Links to and from the other members. */
export interface Peers {
  /** Keeps a link to a member from now on. */
  keep(member: Member): void;
  /** Drops the links to members that `names` does not list. */
  retain(names: ReadonlySet<string>): void;
  /** Sends if there is a link that takes it; else drops the message. */
  send(name: string, message: Message): void;
  /** Sends the current hello again on all links. */
  announce(): void;
  /** Bytes sent to all members so far. */
  readonly bytesOut: number;
  stop(): Promise<void>;
}

/** Bytes that may wait for the wire on one link before messages are dropped. */
const pendingLimit = 8 * 1024 * 1024;

interface Outgoing {
  member: Member;
  link: Link | undefined;
  retry: Subscription | undefined;
  isKept: boolean;
}

/**
 * Listens for members and links to them. Each member sends on the links that it
 * opened itself and receives on those that it accepted, so that a cut in one
 * direction shows as one.
 */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const {self, network, timers, random, log, reconnect} = options;
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
    const delay = reconnect * (1 + random.fraction());
    target.retry = timers.after(delay, () => dial(target));
  }

  function opened(target: Outgoing, link: Link): void {
    if (isStopped || !target.isKept) {
      link.close();
      return;
    }
    target.link = link;
    link.onMessage(() => {});
    link.onClose(() => {
      closedBytes += link.bytesOut;
      if (target.link === link) target.link = undefined;
      redial(target);
    });
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
      const message = body as Hello | Message;
      if (message.kind === 'hello') {
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
      if (hello !== undefined && !isStopped) options.onParted(hello);
    });
  }

  function drop(target: Outgoing): void {
    target.isKept = false;
    target.retry?.cancel();
    target.link?.close();
  }

  const listener: Listener = await network.listen(self.address, accept);

  return {
    keep(member) {
      if (member.name === self.name) return;
      const known = outgoing.get(member.name);
      if (known?.member.address === member.address) return;
      if (known !== undefined) drop(known);
      const target: Outgoing = {
        member,
        link: undefined,
        retry: undefined,
        isKept: true,
      };
      outgoing.set(member.name, target);
      dial(target);
    },
    retain(names) {
      for (const [name, target] of outgoing) {
        if (names.has(name)) continue;
        outgoing.delete(name);
        drop(target);
      }
    },
    send(name, message) {
      const link = outgoing.get(name)?.link;
      if (link === undefined || link.pending > pendingLimit) return;
      link.send(message);
    },
    announce() {
      for (const {link} of outgoing.values()) link?.send(options.hello());
    },
    get bytesOut() {
      let sum = closedBytes;
      for (const {link} of outgoing.values()) sum += link?.bytesOut ?? 0;
      return sum;
    },
    async stop() {
      isStopped = true;
      for (const target of outgoing.values()) drop(target);
      for (const link of accepted) link.close();
      await listener.close();
    },
  };
}
