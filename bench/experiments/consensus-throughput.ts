import {createProcessGroup} from '../consensus/process-group.js';
import type {LoadReport} from '../consensus/messages.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Bytes of one change: about the size of a route with its policy. */
const changeBytes = 400;
const names = 2000;

interface Variant {
  readonly voters: number;
  readonly groupCommit: boolean;
  readonly concurrency: number;
}

interface Cost extends LoadReport {
  readonly perSecond: number;
  /** Milliseconds of processor time per change in the leader. */
  readonly leaderTime: number;
  /** Milliseconds of processor time per change in one follower. */
  readonly followerTime: number;
  /** Bytes that the leader sent per change. */
  readonly bytes: number;
}

/** Loads the leader of a new group for about `seconds`. */
async function measure(variant: Variant, seconds: number): Promise<Cost> {
  const {voters, groupCommit, concurrency} = variant;
  const group = await createProcessGroup({size: voters, groupCommit});
  try {
    const leader = await group.leader();
    const follower = group.names.find(name => name !== leader)!;
    const load = async (count: number) => {
      const {value} = await group.ask(leader, {
        kind: 'load',
        count,
        concurrency,
        bytes: changeBytes,
        names,
      });
      return value as LoadReport;
    };
    const warm = await load(200);
    const rate = warm.accepted / warm.duration;
    const count = Math.max(50, Math.round(rate * seconds * 1000));
    const before = await group.view(leader);
    const followerBefore = await group.view(follower);
    const report = await load(count);
    const after = await group.view(leader);
    const followerAfter = await group.view(follower);
    return {
      ...report,
      perSecond: (report.accepted * 1000) / report.duration,
      leaderTime: (after.processor - before.processor) / report.accepted,
      followerTime:
        (followerAfter.processor - followerBefore.processor) / report.accepted,
      bytes: (after.bytesOut - before.bytesOut) / report.accepted,
    };
  } finally {
    await group.stop();
  }
}

async function run(options: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  const duration = options.seconds / 8;
  let accepted = 0;
  for (const concurrency of [1, 64]) {
    for (const voters of [3, 5]) {
      const ungrouped = {voters, concurrency, groupCommit: false};
      const baseline = await measure(ungrouped, duration);
      const cost = await measure({...ungrouped, groupCommit: true}, duration);
      accepted += baseline.accepted + cost.accepted;
      const label = `${voters} voters, ${concurrency} at once`;
      rows.push(
        compare(
          `accepted, ${label}`,
          '1/s',
          cost.perSecond,
          baseline.perSecond,
        ),
        compare(`time to accept p50, ${label}`, 'ms', cost.p50, baseline.p50),
        compare(`time to accept p99, ${label}`, 'ms', cost.p99, baseline.p99),
        compare(
          `leader time a change, ${label}`,
          'ms',
          cost.leaderTime,
          baseline.leaderTime,
        ),
        compare(
          `follower time a change, ${label}`,
          'ms',
          cost.followerTime,
          baseline.followerTime,
        ),
        compare(
          `leader bytes a change, ${label}`,
          'B',
          cost.bytes,
          baseline.bytes,
        ),
      );
    }
  }
  return {
    rows,
    counts: {accepted},
    notes: [
      'all processes use one machine and one disk, with data folders in the temporary directory and real fsync',
    ],
  };
}

export const experiment: Experiment = {
  name: 'consensus-throughput',
  about: 'accepted changes a second, time to accept, cost of one change',
  baseline: 'one sync for each change',
  seconds: 24,
  run,
};
