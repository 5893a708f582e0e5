import {Packr} from 'msgpackr';
import type {Timers} from '../../time/timers.js';
import {Link, Network} from '../link.js';
import type {Address, Listener} from '../link.js';
import {defaultConnectTimeout} from '../tcp-network.js';

/** What the fake network does with one message. */
export type DeliveryOutcome = 'deliver' | 'drop' | 'double' | 'hold';

/** A network in memory whose delays, cuts and fates the test sets. */
export interface FakeNetwork {
  /** The view that the process `name` has of the network. */
  from(name: string): Network;
  /** Cuts messages that travel from `source` to `target`; one way only. */
  cut(source: string, target: string): void;
  /** Lets messages travel again in both directions between all processes. */
  heal(): void;
  /** Messages of one process take `delay` milliseconds longer each way. */
  slow(name: string, delay: number): void;
  /** Closes every link of one process, as its death would. */
  kill(name: string): void;
  /** Decides each message's fate; the default delivers all. */
  setDeliveryRule(
    rule: (source: string, target: string, message: unknown) => DeliveryOutcome,
  ): void;
  /** Delivers what was held, in reverse order when `crossed`. */
  release(crossed?: boolean): void;
}

interface End {
  readonly owner: string;
  link: Link;
  receive?: (message: unknown) => void;
  closed?: () => void;
  backlog: unknown[];
  open: boolean;
  other?: End;
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
  let rule: (source: string, target: string, message: unknown) => DeliveryOutcome = () =>
    'deliver';

  const isCut = (source: string, target: string) =>
    cuts.has(`${source}>${target}`);

  /** Milliseconds more that a message takes one way between two processes. */
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
    if (!end.open || isCut(end.owner, other.owner)) return;
    const oneWay = delayOf(end.owner, other.owner);
    if (!other.open) {
      timers.after(oneWay, () => reset(end));
      return;
    }
    const bytes = packr.pack(message);
    const fate = rule(end.owner, other.owner, message);
    const arrive = () => {
      if (!isCut(end.owner, other.owner)) deliver(other, bytes);
    };
    if (fate === 'hold') held.push(arrive);
    if (fate === 'deliver' || fate === 'double') timers.after(oneWay, arrive);
    if (fate === 'double') timers.after(oneWay * 2, arrive);
  }

  function end(end: End): void {
    if (!end.open) return;
    end.open = false;
    ends.delete(end);
    end.closed?.();
  }

  /** Answers a send to an end that is gone. */
  function reset(near: End): void {
    if (!isCut(near.other!.owner, near.owner)) end(near);
  }

  function createEnd(owner: string, peer: Address): End {
    const made: End = {owner, backlog: [], open: true, link: undefined!};
    made.link = new (class extends Link {
      readonly peer = peer;
      readonly pending = 0;
      bytesIn = 0;
      bytesOut = 0;

      send(message: unknown): void {
        this.bytesOut += packr.pack(message).length;
        send(made, message);
      }

      onMessage(receive: (message: unknown) => void): void {
        made.receive = receive;
        for (const message of made.backlog.splice(0)) receive(message);
      }

      onClose(closed: () => void): void {
        made.closed = closed;
        if (!made.open) closed();
      }

      close(): void {
        const other = made.other!;
        end(made);
        // A cut swallows the FIN too: the other end stays open until it sends.
        timers.after(delayOf(made.owner, other.owner), () => {
          if (!isCut(made.owner, other.owner)) end(other);
        });
      }
    })();
    ends.add(made);
    return made;
  }

  function connect(owner: string, address: Address): Promise<Link> {
    const listener = listeners.get(address);
    const isBlocked =
      listener !== undefined &&
      (isCut(owner, listener.owner) || isCut(listener.owner, owner));
    return new Promise((resolve, reject) => {
      const refuse = () => reject(new Error(`no connection to ${address}`));
      if (isBlocked) {
        // Nobody answers over a cut, so that only the caller's patience ends it.
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
    slow: (name, extra) => void slowed.set(name, extra),
    kill(name) {
      for (const [address, listener] of listeners) {
        if (listener.owner === name) listeners.delete(address);
      }
      for (const one of [...ends]) {
        if (one.owner !== name) continue;
        const other = one.other!;
        one.open = false;
        ends.delete(one);
        timers.after(delay, () => end(other));
      }
    },
    setDeliveryRule: next => void (rule = next),
    release(crossed = false) {
      const waiting = crossed ? held.reverse() : held;
      held = [];
      for (const arrive of waiting) arrive();
    },
  };
}
