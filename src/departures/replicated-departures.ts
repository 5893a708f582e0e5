/** The departures in the replicated log of the control group. */
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import type {Departure} from '../configuration/departures.js';
import {decodeAnswer} from '../configuration/log-entry.js';
import type {Consensus} from '../consensus/consensus.js';
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import {commonCodes} from '../result/codes.js';
import type {Timers} from '../time/timers.js';
import {DepartureStore} from './departure-store.js';
import {parseQuestion, parseReply} from './messages.js';
import type {Question, Reply} from './messages.js';

/** Options of `createReplicatedDepartures`. */
export interface ReplicatedDeparturesOptions {
  readonly consensus: Pick<Consensus, 'propose' | 'readBarrier' | 'status'>;
  readonly machine: Pick<
    ConfigurationMachine,
    'prepareDeparture' | 'departures'
  >;
  readonly timers: Timers;
  readonly log: Log;
}

/** The departures at one control process. */
export abstract class ReplicatedDepartures extends DepartureStore {
  /** Exchanges departures with another control process. */
  abstract peer(channels: Channels): void;
}

/** Milliseconds until the leader's reply to another process is given up. */
const leaderTimeout = 600;

/** Creates the departures of one control process. */
export function createReplicatedDepartures(
  options: ReplicatedDeparturesOptions,
): ReplicatedDepartures {
  const {consensus, machine, timers} = options;
  const log = options.log.scope('departures');
  const peers = new Set<Channel>();
  /** Departures that were passed on to the leader. */
  const waiting = new Map<number, (isRecorded: boolean) => void>();
  let lastNumber = 0;

  const isLeader = () => consensus.status().role === 'leader';

  async function propose(departure: Departure): Promise<boolean> {
    const entry = machine.prepareDeparture(departure, timers.wall());
    const proposed = await consensus.propose(entry);
    if (!proposed.ok) {
      log.warn('departure not recorded', {
        instance: departure.instance,
        reason: proposed.message,
      });
      return false;
    }
    return decodeAnswer(proposed.value).code === commonCodes.ok.number;
  }

  async function record(departure: Departure): Promise<boolean> {
    // What is applied here is committed.
    if (machine.departures().covers(departure)) return true;
    return isLeader() ? propose(departure) : passOn(departure);
  }

  /** All others are asked, as this process may not know who leads. */
  function passOn(departure: Departure): Promise<boolean> {
    const number = ++lastNumber;
    return new Promise(resolve => {
      const timer = timers.after(leaderTimeout, () => settle(number, false));
      waiting.set(number, isRecorded => {
        timer.cancel();
        resolve(isRecorded);
      });
      const question: Question = {kind: 'record', number, departure};
      for (const peer of peers) peer.send(question);
    });
  }

  function settle(number: number, isRecorded: boolean): void {
    const resolve = waiting.get(number);
    waiting.delete(number);
    resolve?.(isRecorded);
  }

  /** Only the leader replies. */
  async function receiveQuestion(
    channel: Channel,
    question: Question,
  ): Promise<void> {
    if (question.kind !== 'record' || !isLeader()) return;
    if (!(await record(question.departure))) return;
    channel.send({
      kind: 'recorded',
      number: question.number,
    } satisfies Reply);
  }

  function receive(channel: Channel, body: unknown): boolean {
    const question = parseQuestion(body);
    if (question !== undefined) {
      void receiveQuestion(channel, question);
      return true;
    }
    const reply = parseReply(body);
    if (reply?.kind === 'recorded') settle(reply.number, true);
    return reply !== undefined;
  }

  function peer(channels: Channels): void {
    const channel = channels.on('departures');
    peers.add(channel);
    channels.onClose(() => peers.delete(channel));
    channel.onMessage(body => {
      if (receive(channel, body)) return;
      log.warn('message about departures refused', {peer: channels.link.peer});
    });
  }

  return new (class extends ReplicatedDepartures {
    record = record;
    peer = peer;

    async recall(instance: string): Promise<readonly Departure[] | undefined> {
      const barrier = await consensus.readBarrier();
      if (!barrier.ok) return undefined;
      return machine.departures().of(instance);
    }

    isServed(): boolean {
      return true;
    }

    onServed(): void {}
  })();
}
