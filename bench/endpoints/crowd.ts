import type {Channels} from '../../src/link/channel.js';
import {Link} from '../../src/link/link.js';
import type {Timers} from '../../src/time/timers.js';
import type {Crowd} from './messages.js';

/**
 * Nodes without processes or sockets: sessions inside a home that announce
 * and renew. They fill the tables of the other homes to the size wanted.
 */

/** A running crowd. */
export interface CrowdNodes {
  /** Restarts instances one after the other, evenly spread over the time. */
  churn(restarts: number, milliseconds: number): Promise<void>;
}

interface Member {
  readonly index: number;
  incarnation: number;
  receive: (message: unknown) => void;
}

const renewal = 2000;
const slices = 20;

/** Creates a crowd and announces it. */
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

  /** Down, up and warm: what a restart sends. */
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
  for (let at = 0; at < crowd.instances; at++) join(first + at);
  let slice = 0;
  timers.every(renewal / slices, () => {
    slice = (slice + 1) % slices;
    for (let at = slice; at < members.length; at += slices) renew(members[at]!);
  });

  return {
    churn(restarts, milliseconds) {
      const begun = timers.now();
      let done = 0;
      return new Promise(resolve => {
        const ticking = timers.every(5, () => {
          const share = Math.min(1, (timers.now() - begun) / milliseconds);
          for (; done < Math.floor(restarts * share); done++) {
            restart(members[next++ % members.length]!);
          }
          if (share < 1) return;
          ticking.cancel();
          resolve();
        });
      });
    },
  };
}

/** Channels whose other end is this process; what is sent there is dropped. */
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
