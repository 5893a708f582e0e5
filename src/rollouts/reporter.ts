/** Reports a node's counts of services that are rolled out to its home. */
import {isUnderWay} from '../configuration/configuration.js';
import type {Configuration, Rollout} from '../configuration/configuration.js';
import type {Channel, Channels} from '../link/channel.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {RolloutReport} from './messages.js';
import type {OutcomeRecorder} from './recorder.js';

/** Options of `createRolloutReporter`. */
export interface RolloutReporterOptions {
  /** The node's name. */
  readonly name: string;
  readonly timers: Timers;
  readonly recorder: OutcomeRecorder;
  /** Whether a quorum has confirmed the configuration recently. */
  readonly isConfirmed: () => boolean;
  /** Number of requests that run at instances of stable versions. */
  readonly stableRunning: (rollout: Rollout) => number;
}

/** Reports while a roll-out is under way, and is idle otherwise. */
export interface RolloutReporter {
  /** Uses this link from now on and reports all counts over it. */
  attach(channels: Channels): void;
  /** Follows the configuration in force. */
  update(configuration: Configuration): void;
  stop(): void;
}

/** Milliseconds between two reports. */
const reportInterval = 150;

/**
 * Milliseconds after which a report is sent without a change, so that the leader
 * knows that the node is still confirmed.
 */
const idleInterval = 600;

interface ReportState {
  readonly rollout: Rollout;
  /** Mark of the last reported change. */
  mark: number;
  sentAt: number;
  /** The last report without its sequence and counts, to tell changes. */
  summary: string;
}

/** Creates a node's reporter. */
export function createRolloutReporter(
  options: RolloutReporterOptions,
): RolloutReporter {
  const {name, timers, recorder} = options;
  const life = Math.floor(timers.wall()).toString(36);
  const states = new Map<string, ReportState>();
  let version = 0;
  let sequence = 0;
  let channel: Channel | undefined;
  let timer: Subscription | undefined;

  function report(state: ReportState): void {
    const {rollout} = state;
    const service = rollout.name;
    const order = rollout.order!.number;
    const {mark, counts} = recorder.changes(service, order, state.mark);
    const isConfirmed = options.isConfirmed();
    const stableRunning = options.stableRunning(rollout);
    const summary = `${version} ${isConfirmed} ${stableRunning}`;
    const isDue = timers.now() - state.sentAt >= idleInterval;
    const isChanged = counts.length > 0 || summary !== state.summary;
    if (channel === undefined || !(isChanged || isDue)) return;
    Object.assign(state, {mark, summary, sentAt: timers.now()});
    const message: RolloutReport = {
      service,
      order,
      node: name,
      life,
      sequence: ++sequence,
      version,
      isConfirmed,
      stableRunning,
      counts,
    };
    channel.send(message);
  }

  function reportAll(): void {
    for (const state of states.values()) report(state);
  }

  function follow(rollout: Rollout): void {
    const known = states.get(rollout.name);
    const isSameOrder = known?.rollout.order?.number === rollout.order?.number;
    const state =
      known !== undefined && isSameOrder
        ? {...known, rollout}
        : {rollout, mark: 0, sentAt: -Infinity, summary: ''};
    states.set(rollout.name, state);
  }

  function schedule(): void {
    if (states.size === 0) {
      timer?.cancel();
      timer = undefined;
      return;
    }
    timer ??= timers.every(reportInterval, reportAll);
  }

  return {
    attach(channels) {
      const newChannel = channels.on('rollouts');
      channel = newChannel;
      channels.onClose(() => {
        if (channel === newChannel) channel = undefined;
      });
      for (const state of states.values()) state.mark = 0;
      reportAll();
    },
    update(configuration) {
      version = configuration.version;
      const {rollouts} = configuration;
      for (const service of [...states.keys()]) {
        const rollout = rollouts.get(service);
        if (rollout !== undefined && isUnderWay(rollout)) continue;
        states.delete(service);
        recorder.discard(service);
      }
      for (const rollout of rollouts.values()) {
        if (isUnderWay(rollout)) follow(rollout);
      }
      schedule();
    },
    stop: () => timer?.cancel(),
  };
}
