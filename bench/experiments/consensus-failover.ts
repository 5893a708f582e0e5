import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {createProcessGroup} from '../consensus/process-group.js';
import type {ProcessGroup} from '../consensus/process-group.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

const baseTimeout = 500;

/** How the leader's process ends: with SIGKILL or with a planned stop. */
type End = 'kill' | 'stop';

/**
 * Ends the leader; returns milliseconds until another leader accepts a change.
 */
async function failOver(
  group: ProcessGroup,
  turn: number,
  end: End,
): Promise<number> {
  const leader = await group.leader();
  const startedAt = performance.now();
  const ended = end === 'kill' ? group.kill(leader) : group.stopOne(leader);
  const others = group.names.filter(name => name !== leader);
  let isAccepted = false;
  while (!isAccepted) {
    const replies = await Promise.all(
      others.map(name =>
        group.ask(name, {kind: 'propose', name: 'turn', text: `${turn}`}),
      ),
    );
    isAccepted = replies.some(({value}) => value === true);
  }
  const gap = performance.now() - startedAt;
  await ended;
  await group.start(leader);
  await group.until(async () => {
    const [view, other] = [
      await group.view(leader),
      await group.view(others[0]!),
    ];
    return view.appliedIndex >= other.commitIndex;
  });
  return gap;
}

interface Gaps {
  readonly p50: number;
  readonly max: number;
  readonly count: number;
}

async function measure(
  electionTimeout: number,
  milliseconds: number,
  end: End,
): Promise<Gaps> {
  const heartbeat = electionTimeout / 10;
  const group = await createProcessGroup({size: 3, electionTimeout, heartbeat});
  const histogram = build();
  const until = performance.now() + milliseconds;
  try {
    while (performance.now() < until) {
      const gap = await failOver(group, histogram.totalCount, end);
      histogram.recordValue(Math.max(1, gap));
    }
  } finally {
    await group.stop();
  }
  return {
    p50: histogram.getValueAtPercentile(50),
    max: histogram.maxValue,
    count: histogram.totalCount,
  };
}

async function run(options: RunOptions): Promise<Outcome> {
  const timeouts = [250, baseTimeout, 1000];
  const duration = (options.seconds * 1000) / (timeouts.length + 1);
  const rows: Row[] = [];
  const counts: Record<string, number> = {};
  const gapsByTimeout = new Map<number, Gaps>();
  for (const timeout of timeouts) {
    gapsByTimeout.set(timeout, await measure(timeout, duration, 'kill'));
  }
  const baseline = gapsByTimeout.get(baseTimeout)!;
  for (const [timeout, gaps] of gapsByTimeout) {
    const label = `election timeout ${timeout} ms`;
    rows.push(
      compare(`no accepting, median, ${label}`, 'ms', gaps.p50, baseline.p50),
      compare(`no accepting, longest, ${label}`, 'ms', gaps.max, baseline.max),
    );
    counts[`kills at ${timeout} ms`] = gaps.count;
  }
  const stops = await measure(baseTimeout, duration, 'stop');
  rows.push(
    compare(
      'no accepting, median, planned stop',
      'ms',
      stops.p50,
      baseline.p50,
    ),
    compare(
      'no accepting, longest, planned stop',
      'ms',
      stops.max,
      baseline.max,
    ),
  );
  counts['planned stops'] = stops.count;
  return {rows, counts};
}

export const experiment: Experiment = {
  name: 'consensus-failover',
  about: 'time without an accepted change after the leader has ended',
  baseline: `kill -9 with an election timeout of ${baseTimeout} ms`,
  seconds: 40,
  run,
};
