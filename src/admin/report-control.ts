import {stat} from 'node:fs/promises';
import {join} from 'node:path';
import type {Consensus} from '../consensus/consensus.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';

/** Options of reportControl. */
export interface ControlReportOptions {
  readonly consensus: Pick<Consensus, 'status'>;
  readonly dataFolder: string;
  /** Returns the number of known nodes. */
  readonly nodes: () => number;
  readonly metrics: Metrics;
  readonly timers: Timers;
}

/** Interval between two reports, in milliseconds. */
const reportInterval = 5_000;

/** Reports the state of a control process periodically. */
export function reportControl(options: ControlReportOptions): Subscription {
  const {consensus, dataFolder, metrics, timers} = options;

  async function report(): Promise<void> {
    const {role, term, commitIndex} = consensus.status();
    metrics.fleet(options.nodes());
    metrics.control({
      term,
      isLeader: role === 'leader',
      commitIndex,
      logBytes: await sizeOf(join(dataFolder, 'log')),
      snapshotBytes: await sizeOf(join(dataFolder, 'snapshot')),
    });
  }

  void report();
  return timers.every(reportInterval, () => void report());
}

/** Returns 0 for a file that does not exist yet. */
async function sizeOf(file: string): Promise<number> {
  try {
    return (await stat(file)).size;
  } catch {
    return 0;
  }
}
