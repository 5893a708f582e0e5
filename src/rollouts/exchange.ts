/**
 * Collects the reports of nodes at their homes and passes them on between homes,
 * so that the leader, and any leader after it, has the sums of all nodes.
 */
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {createEvidence} from './evidence.js';
import type {Evidence} from './evidence.js';
import type {RolloutReport} from './messages.js';
import {parseReport, parseReports} from './report-schema.js';

/** Options of `createRolloutExchange`. */
export interface RolloutExchangeOptions {
  readonly timers: Timers;
  readonly log: Log;
}

/** The evidence of one home. */
export interface RolloutExchange {
  /** Receives reports from a node. */
  accept(channels: Channels): void;
  /** Receives reports from a relay, on behalf of its nodes. */
  acceptRelay(channels: Channels): void;
  /** Exchanges the reports of own nodes with another home. */
  peer(channels: Channels): void;
  /** What is known of a roll-out; undefined before the first report. */
  evidence(service: string, order: number): Evidence | undefined;
  /** Discards the evidence of a service. */
  discard(service: string): void;
  stop(): void;
}

/** Milliseconds in which reports are gathered before they are passed on. */
const gatherInterval = 50;

/** Maximum number of services with evidence. */
const maxServices = 256;

/** Creates the exchange of one home. */
export function createRolloutExchange(
  options: RolloutExchangeOptions,
): RolloutExchange {
  const {timers} = options;
  const log = options.log.scope('rollouts');
  const peers = new Set<Channel>();
  const known = new Map<string, Evidence>();
  /** Reports of own nodes that have not been passed on. */
  let waiting: RolloutReport[] = [];
  let isScheduled = false;
  let isStopped = false;

  function evidenceFor({service, order}: RolloutReport): Evidence | undefined {
    const before = known.get(service);
    if (before !== undefined && before.order > order) return undefined;
    if (before?.order === order) return before;
    if (before === undefined && known.size >= maxServices) return undefined;
    const evidence = createEvidence(order);
    known.set(service, evidence);
    return evidence;
  }

  /** Adds a report; whether it holds something new. */
  function add(report: RolloutReport): boolean {
    return evidenceFor(report)?.add(report, timers.now()) ?? false;
  }

  function addOwn(report: RolloutReport): void {
    if (!add(report)) return;
    waiting.push(report);
    if (isScheduled || isStopped) return;
    isScheduled = true;
    timers.after(gatherInterval, passOn);
  }

  function passOn(): void {
    isScheduled = false;
    const reports = waiting;
    waiting = [];
    for (const peer of peers) peer.send({reports});
  }

  function receiveAll(
    channels: Channels,
    take: (report: RolloutReport) => void,
  ): Channel {
    const channel = channels.on('rollouts');
    channel.onMessage(body => {
      const message = parseReports(body);
      if (message === undefined) return logInvalid(channels);
      for (const report of message.reports) take(report);
    });
    return channel;
  }

  function logInvalid({link}: Channels): void {
    log.warn('report refused', {peer: link.peer});
  }

  return {
    accept: channels =>
      channels.on('rollouts').onMessage(body => {
        const report = parseReport(body);
        if (report === undefined) logInvalid(channels);
        else addOwn(report);
      }),
    acceptRelay: channels => void receiveAll(channels, addOwn),
    peer: channels => {
      const channel = receiveAll(channels, report => void add(report));
      peers.add(channel);
      channels.onClose(() => peers.delete(channel));
      const reports = [...known.values()].flatMap(each => each.reports());
      if (reports.length > 0) channel.send({reports});
    },
    evidence: (service, order) => {
      const evidence = known.get(service);
      return evidence?.order === order ? evidence : undefined;
    },
    discard: service => void known.delete(service),
    stop: () => {
      isStopped = true;
    },
  };
}
