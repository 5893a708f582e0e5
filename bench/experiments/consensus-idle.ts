import {setTimeout as delay} from 'node:timers/promises';
import {createProcessGroup} from '../consensus/process-group.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

interface Cost {
  /** Milliseconds of processor time per second. */
  readonly leaderTime: number;
  readonly followerTime: number;
  /** Bytes sent per second. */
  readonly leaderBytes: number;
  readonly followerBytes: number;
  /** Resident memory of the leader in bytes. */
  readonly memory: number;
}

/** Measures a group of `voters` that is idle for `seconds`. */
async function measure(voters: number, seconds: number): Promise<Cost> {
  const group = await createProcessGroup({size: voters});
  try {
    const leader = await group.leader();
    const follower = group.names.find(name => name !== leader)!;
    const measuredMembers = [leader, follower];
    const before = await Promise.all(
      measuredMembers.map(name => group.view(name)),
    );
    await delay(seconds * 1000);
    const after = await Promise.all(
      measuredMembers.map(name => group.view(name)),
    );
    const rate = (at: number, key: 'processor' | 'bytesOut') =>
      (after[at]![key] - before[at]![key]) / seconds;
    return {
      leaderTime: rate(0, 'processor'),
      followerTime: rate(1, 'processor'),
      leaderBytes: rate(0, 'bytesOut'),
      followerBytes: rate(1, 'bytesOut'),
      memory: after[0]!.memory,
    };
  } finally {
    await group.stop();
  }
}

async function run(options: RunOptions): Promise<Outcome> {
  const duration = options.seconds / 2;
  const baseline = await measure(3, duration);
  const rows: Row[] = [];
  for (const voters of [3, 5]) {
    const cost = voters === 3 ? baseline : await measure(voters, duration);
    const label = `${voters} voters idle`;
    rows.push(
      compare(
        `leader time a second, ${label}`,
        'ms',
        cost.leaderTime,
        baseline.leaderTime,
      ),
      compare(
        `follower time a second, ${label}`,
        'ms',
        cost.followerTime,
        baseline.followerTime,
      ),
      compare(
        `leader bytes a second, ${label}`,
        'B',
        cost.leaderBytes,
        baseline.leaderBytes,
      ),
      compare(
        `follower bytes a second, ${label}`,
        'B',
        cost.followerBytes,
        baseline.followerBytes,
      ),
      compare(`leader memory, ${label}`, 'B', cost.memory, baseline.memory),
    );
  }
  return {rows};
}

export const experiment: Experiment = {
  name: 'consensus-idle',
  about: 'cost of the control group while nothing changes',
  baseline: '3 voters',
  seconds: 12,
  run,
};
