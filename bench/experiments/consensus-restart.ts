import {performance} from 'node:perf_hooks';
import {createProcessGroup} from '../consensus/process-group.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row} from '../experiment.js';

/** Changes that pass while a member is off. */
const misses = [10, 1000, 10_000];
const changeBytes = 400;
const names = 2000;
const snapshotEntries = 1000;

interface Cost {
  /** Milliseconds from the start of the process until its folder is open. */
  readonly start: number;
  /** Milliseconds from there until it has applied everything. */
  readonly catchUp: number;
  /** Bytes that the leader sent meanwhile. */
  readonly bytes: number;
}

async function measure(missed: number): Promise<Cost> {
  const group = await createProcessGroup({size: 3, snapshotEntries});
  try {
    const leader = await group.leader();
    const late = group.names.find(name => name !== leader)!;
    const load = (count: number) =>
      group.ask(leader, {
        kind: 'load',
        count,
        concurrency: 64,
        bytes: changeBytes,
        names,
      });
    await load(names);
    await group.kill(late);
    await load(missed);
    const before = await group.view(leader);
    const from = performance.timeOrigin + performance.now();
    await group.start(late);
    await group.until(async () => {
      const view = await group.view(late);
      return view.appliedIndex >= before.commitIndex;
    });
    const done = performance.timeOrigin + performance.now();
    const after = await group.view(leader);
    const {openedAt, digest} = await group.view(late);
    if (digest !== after.digest) throw new Error('the digests differ');
    return {
      start: openedAt - from,
      catchUp: done - openedAt,
      bytes: after.bytesOut - before.bytesOut,
    };
  } finally {
    await group.stop();
  }
}

async function run(): Promise<Outcome> {
  const rows: Row[] = [];
  let base: Cost | undefined;
  for (const missed of misses) {
    const cost = await measure(missed);
    base ??= cost;
    const label = `${missed} missed changes`;
    rows.push(
      compare(`process start, ${label}`, 'ms', cost.start, base.start),
      compare(`catch up, ${label}`, 'ms', cost.catchUp, base.catchUp),
      compare(`bytes from the leader, ${label}`, 'B', cost.bytes, base.bytes),
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
  baseline: `${misses[0]} missed changes`,
  seconds: 30,
  run,
};
