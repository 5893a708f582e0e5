/**
 * Forwards evidence of nodes between homes, so that the leader can combine
 * crashes reported by different nodes. Each piece of evidence is sent over each
 * link at most once.
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

/** The evidence channels of one home. */
export interface EvidenceExchange {
  /** Receives evidence from a node; nothing is sent to it. */
  accept(channels: Channels): void;
  /** Exchanges all evidence with a relay or a control process. */
  peer(channels: Channels): void;
  /** Calls `observe` with each piece of evidence that this home has not seen. */
  onEvidence(observe: (evidence: Evidence) => void): void;
}

/** Maximum number of ids and answers kept to detect duplicates. */
const maxRememberedIds = 4096;

/**
 * Milliseconds in which answers to one request are forwarded once. Every node
 * that answers a frequent request reports it, and without this limit those
 * reports would use up the rate and displace crashes.
 */
const answerInterval = 500;

/**
 * Maximum number of pieces of evidence accepted per second; a power failure ends
 * hundreds of instances at once.
 */
const maxPerSecond = 200;

const second = 1000;

/** Creates the evidence exchange of one home. */
export function createEvidenceExchange(
  options: EvidenceExchangeOptions,
): EvidenceExchange {
  const {timers} = options;
  const log = options.log.scope('quarantine');
  const peerChannels = new Set<Channel>();
  const seen = new Set<string>();
  /** When an answer to each request was last forwarded, oldest first. */
  const answeredAt = new Map<string, number>();
  const observers: Array<(evidence: Evidence) => void> = [];
  let periodEnd = 0;
  let receivedInPeriod = 0;

  function remember(id: string): void {
    seen.add(id);
    if (seen.size > maxRememberedIds) seen.delete(seen.values().next().value!);
  }

  function isDuplicate(evidence: Evidence): boolean {
    if (seen.has(evidence.id)) return true;
    if (evidence.kind !== 'answer') return false;
    const {name} = evidence;
    const now = timers.now();
    if (now - (answeredAt.get(name) ?? -Infinity) < answerInterval) return true;
    answeredAt.delete(name);
    answeredAt.set(name, now);
    if (answeredAt.size > maxRememberedIds) {
      answeredAt.delete(answeredAt.keys().next().value!);
    }
    return false;
  }

  function isWithinRate(): boolean {
    if (timers.now() >= periodEnd) {
      if (receivedInPeriod > maxPerSecond) {
        log.warn('evidence left out', {count: receivedInPeriod - maxPerSecond});
      }
      periodEnd = timers.now() + second;
      receivedInPeriod = 0;
    }
    return ++receivedInPeriod <= maxPerSecond;
  }

  function receive(from: Channel, peer: string, body: unknown): void {
    const evidence = parseEvidence(body);
    if (evidence === undefined) {
      return log.warn('evidence refused', {peer});
    }
    if (isDuplicate(evidence) || !isWithinRate()) return;
    remember(evidence.id);
    for (const other of peerChannels) if (other !== from) other.send(evidence);
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
      peerChannels.add(channel);
      channels.onClose(() => peerChannels.delete(channel));
    },
    onEvidence: observe => void observers.push(observe),
  };
}
