import type {Channels} from '../../src/link/channel.js';
import {Link} from '../../src/link/link.js';
import type {Timers} from '../../src/time/timers.js';
import type {Crowd} from './messages.js';

/**
 * A crowd of simulated nodes: sessions inside a home, without processes or
 * sockets, that announce instances and renew them. A crowd fills the tables of
 * the other homes up to the size that an experiment needs.
 */

/** A running crowd. */
export interface CrowdNodes {
  /** Restarts instances one by one, evenly spread over the duration. */
  churn(restarts: number, milliseconds: number): Promise<void>;
}

interface Member {
  readonly index: number;
  incarnation: number;
  receive: (message: unknown) => void;
}

/** Milliseconds between the renewals of an instance. */
const renewalInterval = 2000;
/** Renewals are spread over this many ticks of the interval. */
const slices = 20;

/** Creates a crowd and announces its instances. */
export function createCrowd(
  home: {accept(channels: Channels): void},
  timers: Timers,
  crowd: Crowd,
): CrowdNodes {
  const members: Member[] = [];
  let next = 0;

  function announce(member: Member, sequence: number, state: string): void {
    const {index, incarnation} = member;
    member.receive({
      kind: 'announce',
      announcement: {
        instance: `crowd-${index}`,
        service: `service-${index % crowd.services}`,
        incarnation,
        sequence,
        state,
        gate: `10.${1 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}:7000`,
        failureDomain: 'hall-b',
        region: 'astana',
        slots: 10,
        connections: 130,
        since: 0,
      },
    });
  }

  function renew(member: Member): void {
    const {index, incarnation} = member;
    const instance = `crowd-${index}`;
    member.receive({kind: 'renew', instance, incarnation, sequence: 2});
  }

  /** Sends the announcements of a restart: gone, then warming, then serving. */
  function restart(member: Member): void {
    announce(member, 3, 'gone');
    member.incarnation++;
    announce(member, 1, 'warming');
    announce(member, 2, 'serving');
  }

  function join(index: number): void {
    const member: Member = {index, incarnation: 1, receive: () => {}};
    home.accept(createLoopChannels(receive => (member.receive = receive)));
    members.push(member);
    announce(member, 2, 'serving');
  }

  const first = crowd.first ?? 0;
  for (let offset = 0; offset < crowd.instances; offset++) join(first + offset);
  let slice = 0;
  timers.every(renewalInterval / slices, () => {
    slice = (slice + 1) % slices;
    for (let offset = slice; offset < members.length; offset += slices)
      renew(members[offset]!);
  });

  return {
    churn(restarts, milliseconds) {
      const startedAt = timers.now();
      let restarted = 0;
      return new Promise(resolve => {
        const subscription = timers.every(5, () => {
          const share = Math.min(1, (timers.now() - startedAt) / milliseconds);
          for (; restarted < Math.floor(restarts * share); restarted++) {
            restart(members[next++ % members.length]!);
          }
          if (share < 1) return;
          subscription.cancel();
          resolve();
        });
      });
    },
  };
}

/**
 * Creates channels without a remote end: messages sent on them are discarded,
 * and `register` gets the function that delivers incoming messages.
 */
export function createLoopChannels<Message>(
  register: (receive: (message: Message) => void) => void,
): Channels {
  const link = new (class extends Link {
    readonly peer = 'crowd';
    readonly pending = 0;
    readonly bytesIn = 0;
    readonly bytesOut = 0;
    send(): void {}
    onMessage(): void {}
    onClose(): void {}
    close(): void {}
  })();
  return {
    link,
    on: () => ({
      send: () => {},
      onMessage: receive => register(receive),
    }),
    onClose: () => {},
  };
}
