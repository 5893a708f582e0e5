import {Packr} from 'msgpackr';
import type {Timers} from '../../time/timers.js';
import {Link, Network} from '../link.js';
import type {Address, Listener} from '../link.js';
import {defaultConnectTimeout} from '../tcp-network.js';

/** What the fake network does with one message; `double` delivers it twice. */
export type DeliveryOutcome = 'deliver' | 'drop' | 'double' | 'hold';

/** An in-memory network; the test sets delays, partitions and delivery outcomes. */
export interface FakeNetwork {
  /** Returns the network as seen by the process `name`. */
  from(name: string): Network;
  /** Drops messages from `source` to `target`, in this direction only. */
  cut(source: string, target: string): void;
  /** Removes all cuts, so that messages pass between all processes. */
  heal(): void;
  /**
   * From now on a link over which a message is sent during a cut stays silent
   * after it, and neither end notices that the other one was closed. TCP's
   * retransmissions are as far apart as the cut has lasted, and some failures
   * leave a connection silent for good.
   */
  silenceAfterCut(): void;
  /** Adds `delay` milliseconds to messages from and to one process. */
  slow(name: string, delay: number): void;
  /** Closes all links of one process, as a crash would. */
  kill(name: string): void;
  /** Sets the rule for the outcome of each message; by default all are delivered. */
  decide(
    rule: (source: string, target: string, message: unknown) => DeliveryOutcome,
  ): void;
  /** Delivers the held messages, in reverse order if `reversed`. */
  release(reversed?: boolean): void;
}

interface End {
  readonly owner: string;
  link: Link;
  receive?: (message: unknown) => void;
  closed?: () => void;
  backlog: unknown[];
  open: boolean;
  other?: End;
  /** Whether nothing passes between the two ends any more. */
  isSilent?: boolean;
}

/** Creates a fake network; messages take `delay` milliseconds one way. */
export function createFakeNetwork(timers: Timers, delay = 1): FakeNetwork {
  const packr = new Packr({useRecords: false});
  const listeners = new Map<
    Address,
    {owner: string; accept: (link: Link) => void}
  >();
  const cuts = new Set<string>();
  const slowed = new Map<string, number>();
  const ends = new Set<End>();
  let held: Array<() => void> = [];
  let isSilencing = false;
  let rule: (
    source: string,
    target: string,
    message: unknown,
  ) => DeliveryOutcome = () => 'deliver';

  const isCut = (source: string, target: string) =>
    cuts.has(`${source}>${target}`);

  /** Additional one-way delay between two processes, in milliseconds. */
  function extraOf(owner: string, other: string): number {
    return (slowed.get(owner) ?? 0) + (slowed.get(other) ?? 0);
  }

  const delayOf = (owner: string, other: string) =>
    delay + extraOf(owner, other);

  function deliver(end: End, bytes: Buffer): void {
    if (!end.open) return;
    const message: unknown = packr.unpack(bytes);
    if (end.receive === undefined) end.backlog.push(message);
    else end.receive(message);
  }

  function send(end: End, message: unknown): void {
    const other = end.other!;
    const isBlocked = isCut(end.owner, other.owner);
    if (isBlocked && isSilencing) end.isSilent = other.isSilent = true;
    if (!end.open || isBlocked || end.isSilent) return;
    const oneWay = delayOf(end.owner, other.owner);
    if (!other.open) {
      timers.after(oneWay, () => reset(end));
      return;
    }
    const bytes = packr.pack(message);
    const outcome = rule(end.owner, other.owner, message);
    const deliverMessage = () => {
      if (!isCut(end.owner, other.owner)) deliver(other, bytes);
    };
    if (outcome === 'hold') held.push(deliverMessage);
    if (outcome === 'deliver' || outcome === 'double')
      timers.after(oneWay, deliverMessage);
    if (outcome === 'double') timers.after(oneWay * 2, deliverMessage);
  }

  function closeEnd(end: End): void {
    if (!end.open) return;
    end.open = false;
    ends.delete(end);
    end.closed?.();
  }

  /** Closes the near end after a send to a far end that is closed. */
  function reset(near: End): void {
    if (!isCut(near.other!.owner, near.owner)) closeEnd(near);
  }

  function createEnd(owner: string, peer: Address): End {
    const created: End = {owner, backlog: [], open: true, link: undefined!};
    created.link = new (class extends Link {
      readonly peer = peer;
      readonly pending = 0;
      bytesIn = 0;
      bytesOut = 0;

      send(message: unknown): void {
        this.bytesOut += packr.pack(message).length;
        send(created, message);
      }

      onMessage(receive: (message: unknown) => void): void {
        created.receive = receive;
        for (const message of created.backlog.splice(0)) receive(message);
      }

      onClose(closed: () => void): void {
        created.closed = closed;
        if (!created.open) closed();
      }

      close(): void {
        const other = created.other!;
        closeEnd(created);
        // A cut drops the FIN too: the other end stays open until it sends.
        timers.after(delayOf(created.owner, other.owner), () => {
          const isLost = isCut(created.owner, other.owner) || created.isSilent;
          if (!isLost) closeEnd(other);
        });
      }
    })();
    ends.add(created);
    return created;
  }

  function connect(owner: string, address: Address): Promise<Link> {
    const listener = listeners.get(address);
    const isBlocked =
      listener !== undefined &&
      (isCut(owner, listener.owner) || isCut(listener.owner, owner));
    return new Promise((resolve, reject) => {
      const refuse = () => reject(new Error(`no connection to ${address}`));
      if (isBlocked) {
        // There is no answer over a cut, so the attempt ends by its timeout.
        timers.after(defaultConnectTimeout, refuse);
        return;
      }
      const extra = listener === undefined ? 0 : extraOf(owner, listener.owner);
      timers.after(delay + 2 * extra, () => {
        if (listener === undefined || listeners.get(address) !== listener) {
          refuse();
          return;
        }
        const near = createEnd(owner, address);
        const far = createEnd(listener.owner, owner);
        near.other = far;
        far.other = near;
        listener.accept(far.link);
        resolve(near.link);
      });
    });
  }

  return {
    from: name =>
      new (class extends Network {
        async listen(
          address: Address,
          accept: (link: Link) => void,
        ): Promise<Listener> {
          if (listeners.has(address)) throw new Error(`${address} is taken`);
          listeners.set(address, {owner: name, accept});
          return {
            address,
            close: async () => void listeners.delete(address),
          };
        }

        connect(address: Address): Promise<Link> {
          return connect(name, address);
        }
      })(),
    cut: (source, target) => void cuts.add(`${source}>${target}`),
    heal: () => cuts.clear(),
    silenceAfterCut: () => void (isSilencing = true),
    slow: (name, extra) => void slowed.set(name, extra),
    kill(name) {
      for (const [address, listener] of listeners) {
        if (listener.owner === name) listeners.delete(address);
      }
      for (const near of [...ends]) {
        if (near.owner !== name) continue;
        const other = near.other!;
        near.open = false;
        ends.delete(near);
        const isLost = other.isSilent === true;
        if (!isLost) timers.after(delay, () => closeEnd(other));
      }
    },
    decide: next => void (rule = next),
    release(reversed = false) {
      const messages = reversed ? held.reverse() : held;
      held = [];
      for (const deliverMessage of messages) deliverMessage();
    },
  };
}
