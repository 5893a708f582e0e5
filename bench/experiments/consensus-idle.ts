import {setTimeout as delay} from 'node:timers/promises';
import {createProcessGroup} from '../consensus/process-group.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

interface Cost {
  /** Milliseconds of processor time a second. */
  readonly leaderTime: number;
  readonly followerTime: number;
  /** Bytes sent a second. */
  readonly leaderBytes: number;
  readonly followerBytes: number;
  /** Resident bytes of the leader. */
  readonly memory: number;
}

/** Lets a group of `voters` idle for `seconds`. */
async function measure(voters: number, seconds: number): Promise<Cost> {
  const group = await createProcessGroup({size: voters});
  try {
    const leader = await group.leader();
    const follower = group.names.find(name => name !== leader)!;
    const both = [leader, follower];
    const before = await Promise.all(both.map(name => group.view(name)));
    await delay(seconds * 1000);
    const after = await Promise.all(both.map(name => group.view(name)));
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
  const part = options.seconds / 2;
  const base = await measure(3, part);
  const rows: Row[] = [];
  for (const voters of [3, 5]) {
    const cost = voters === 3 ? base : await measure(voters, part);
    const label = `${voters} voters idle`;
    rows.push(
      compare(
        `leader time a second, ${label}`,
        'ms',
        cost.leaderTime,
        base.leaderTime,
      ),
      compare(
        `follower time a second, ${label}`,
        'ms',
        cost.followerTime,
        base.followerTime,
      ),
      compare(
        `leader bytes a second, ${label}`,
        'B',
        cost.leaderBytes,
        base.leaderBytes,
      ),
      compare(
        `follower bytes a second, ${label}`,
        'B',
        cost.followerBytes,
        base.followerBytes,
      ),
      compare(`leader memory, ${label}`, 'B', cost.memory, base.memory),
    );
  }
  return {rows};
}

export const experiment: Experiment = {
  name: 'consensus-idle',
  about: 'what the control group costs while nothing changes',
  baseline: '3 voters',
  seconds: 12,
  run,
};
