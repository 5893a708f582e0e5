import {createProcessGroup} from '../consensus/process-group.js';
import type {LoadReport} from '../consensus/messages.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Bytes of one change, as large as a route with its policy. */
const changeBytes = 400;
const names = 2000;

interface Variant {
  readonly voters: number;
  readonly groupCommit: boolean;
  readonly concurrency: number;
}

interface Cost extends LoadReport {
  readonly perSecond: number;
  /** Milliseconds of processor time in the leader, for one change. */
  readonly leaderTime: number;
  /** The same in one follower. */
  readonly followerTime: number;
  /** Bytes that the leader sent, for one change. */
  readonly bytes: number;
}

/** Loads the leader of a fresh group for about `seconds`. */
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
  const part = options.seconds / 8;
  let accepted = 0;
  for (const concurrency of [1, 64]) {
    for (const voters of [3, 5]) {
      const single = {voters, concurrency, groupCommit: false};
      const base = await measure(single, part);
      const cost = await measure({...single, groupCommit: true}, part);
      accepted += base.accepted + cost.accepted;
      const label = `${voters} voters, ${concurrency} at once`;
      rows.push(
        compare(`accepted, ${label}`, '1/s', cost.perSecond, base.perSecond),
        compare(`time to accept p50, ${label}`, 'ms', cost.p50, base.p50),
        compare(`time to accept p99, ${label}`, 'ms', cost.p99, base.p99),
        compare(
          `leader time a change, ${label}`,
          'ms',
          cost.leaderTime,
          base.leaderTime,
        ),
        compare(
          `follower time a change, ${label}`,
          'ms',
          cost.followerTime,
          base.followerTime,
        ),
        compare(`leader bytes a change, ${label}`, 'B', cost.bytes, base.bytes),
      );
    }
  }
  return {
    rows,
    counts: {accepted},
    notes: [
      'processes on one machine and one disk, folders under the temporary directory, real fsync',
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
