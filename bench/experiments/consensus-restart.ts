import {performance} from 'node:perf_hooks';
import {createProcessGroup} from '../consensus/process-group.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row} from '../experiment.js';

/** Numbers of changes that are accepted while a member is down. */
const missedCounts = [10, 1000, 10_000];
const changeBytes = 400;
const names = 2000;
const snapshotEntries = 1000;

interface Cost {
  /** Milliseconds from the process start until the data folder is open. */
  readonly start: number;
  /** Milliseconds from then until all missed changes are applied. */
  readonly catchUp: number;
  /** Bytes that the leader sent during the restart. */
  readonly bytes: number;
}

async function measure(missed: number): Promise<Cost> {
  const group = await createProcessGroup({size: 3, snapshotEntries});
  try {
    const leader = await group.leader();
    const restarted = group.names.find(name => name !== leader)!;
    const load = (count: number) =>
      group.ask(leader, {
        kind: 'load',
        count,
        concurrency: 64,
        bytes: changeBytes,
        names,
      });
    await load(names);
    await group.kill(restarted);
    await load(missed);
    const before = await group.view(leader);
    const startedAt = performance.timeOrigin + performance.now();
    await group.start(restarted);
    await group.until(async () => {
      const view = await group.view(restarted);
      return view.appliedIndex >= before.commitIndex;
    });
    const caughtUpAt = performance.timeOrigin + performance.now();
    const after = await group.view(leader);
    const {openedAt, digest} = await group.view(restarted);
    if (digest !== after.digest) throw new Error('the digests differ');
    return {
      start: openedAt - startedAt,
      catchUp: caughtUpAt - openedAt,
      bytes: after.bytesOut - before.bytesOut,
    };
  } finally {
    await group.stop();
  }
}

async function run(): Promise<Outcome> {
  const rows: Row[] = [];
  let baseline: Cost | undefined;
  for (const missed of missedCounts) {
    const cost = await measure(missed);
    baseline ??= cost;
    const label = `${missed} missed changes`;
    rows.push(
      compare(`process start, ${label}`, 'ms', cost.start, baseline.start),
      compare(`catch up, ${label}`, 'ms', cost.catchUp, baseline.catchUp),
      compare(
        `bytes from the leader, ${label}`,
        'B',
        cost.bytes,
        baseline.bytes,
      ),
    );
  }
  return {
    rows,
    notes: [
      `${names} names of ${changeBytes} bytes; a snapshot each ${snapshotEntries} changes; each digest was compared`,
    ],
  };
}

export const experiment: Experiment = {
  name: 'consensus-restart',
  about: 'time and bytes until a restarted member has caught up',
  baseline: `${missedCounts[0]} missed changes`,
  seconds: 30,
  run,
};
