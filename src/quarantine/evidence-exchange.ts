/**
 * Passes evidence of nodes on among homes, so that crashes which different
 * nodes saw add up wherever the leader is. Each piece goes over each link once.
 */
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import type {Evidence} from './messages.js';
import {parseEvidence} from './evidence-schema.js';

/** Options of `createEvidenceExchange`. */
export interface EvidenceExchangeOptions {
  readonly timers: Timers;
  readonly log: Log;
}

/** One home's links for evidence. */
export interface EvidenceExchange {
  /** Hears a node, which is told nothing. */
  accept(channels: Channels): void;
  /** Hears a fellow home, or a home above or below, and tells it all. */
  peer(channels: Channels): void;
  /** Calls `observe` with each piece of evidence that is new here. */
  onEvidence(observe: (evidence: Evidence) => void): void;
}

/** Ids that are remembered to tell what came before. */
const rememberedIds = 4096;

/**
 * Milliseconds in which one answered request is passed on once. Each node that
 * answers a hot request tells of it, and would leave no room for crashes.
 */
const answerPause = 500;

/** Pieces a second; a loss of power ends hundreds of instances at once. */
const mostPerSecond = 200;

const second = 1000;

/** Creates the links of one home. */
export function createEvidenceExchange(
  options: EvidenceExchangeOptions,
): EvidenceExchange {
  const {timers} = options;
  const log = options.log.scope('quarantine');
  const peers = new Set<Channel>();
  const seen = new Set<string>();
  /** When each answered request was passed on last, the oldest first. */
  const answers = new Map<string, number>();
  const observers: Array<(evidence: Evidence) => void> = [];
  let periodEnd = 0;
  let taken = 0;

  function remember(id: string): void {
    seen.add(id);
    if (seen.size > rememberedIds) seen.delete(seen.values().next().value!);
  }

  function isKnown(evidence: Evidence): boolean {
    if (seen.has(evidence.id)) return true;
    if (evidence.kind !== 'answer') return false;
    const {name} = evidence;
    const now = timers.now();
    if (now - (answers.get(name) ?? -Infinity) < answerPause) return true;
    answers.delete(name);
    answers.set(name, now);
    if (answers.size > rememberedIds) {
      answers.delete(answers.keys().next().value!);
    }
    return false;
  }

  function isWithinRate(): boolean {
    if (timers.now() >= periodEnd) {
      if (taken > mostPerSecond) {
        log.warn('evidence left out', {count: taken - mostPerSecond});
      }
      periodEnd = timers.now() + second;
      taken = 0;
    }
    return ++taken <= mostPerSecond;
  }

  function receive(from: Channel, peer: string, body: unknown): void {
    const evidence = parseEvidence(body);
    if (evidence === undefined) {
      return log.warn('evidence refused', {peer});
    }
    if (isKnown(evidence) || !isWithinRate()) return;
    remember(evidence.id);
    for (const other of peers) if (other !== from) other.send(evidence);
    for (const observe of observers) observe(evidence);
  }

  function listen(channels: Channels): Channel {
    const channel = channels.on('quarantine');
    channel.onMessage(body => receive(channel, channels.link.peer, body));
    return channel;
  }

  return {
    accept: channels => void listen(channels),
    peer: channels => {
      const channel = listen(channels);
      peers.add(channel);
      channels.onClose(() => peers.delete(channel));
    },
    onEvidence: observe => void observers.push(observe),
  };
}
