/**
 * Latency that entry and gate add, compared to calling the upstream directly.
 */
import {createRandom} from '../../src/random/random.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';
import {timeArrivals} from '../requests/arrivals.js';
import type {Timed} from '../requests/arrivals.js';
import {startCallPath} from '../requests/processes.js';
import type {BenchProcess} from '../requests/processes.js';

/** Calls per second on each of the three paths. */
const rates = [50, 200, 800];
const bytes = 500;
/**
 * Load before the first measurement, so that the JIT compiler has optimized the
 * code of the nodes.
 */
const warmRate = 1000;
const warmSeconds = 4;

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const {upstream, upstreamNode, entry} = await startCallPath(seed, bytes);
  const processes = [upstream, upstreamNode, entry];
  const rows: Row[] = [];
  const counts: Record<string, number> = {};
  const duration = (seconds - warmSeconds) / rates.length;
  await timeCalls(processes, warmRate, warmSeconds, seed);
  for (const rate of rates) {
    const before = await usageOf(processes);
    const timed = await timeCalls(processes, rate, duration, seed + rate);
    const after = await usageOf(processes);
    rows.push(...latencyRows(rate, timed));
    const calls = timed.get('two hops')!.latency.totalCount;
    // The node beside the upstream receives the calls of both paths, so that
    // only the entry's processor time belongs to one path.
    const entryTime = (after[2]! - before[2]!) / calls;
    rows.push({
      figure: `processor time of the entry a call, ${rate}/s`,
      unit: 'us',
      value: entryTime,
    });
    counts[`failed at ${rate}/s`] = [...timed.values()].reduce(
      (sum, one) => sum + one.failed,
      0,
    );
  }
  for (const process of processes) process.end();
  return {rows, counts};
}

function timeCalls(
  [upstream, upstreamNode, entry]: BenchProcess[],
  rate: number,
  seconds: number,
  seed: number,
): Promise<Map<string, Timed>> {
  const path = '/stock/7';
  return timeArrivals({
    targets: [
      {name: 'direct', address: upstream!.address, path},
      {name: 'one hop', address: upstreamNode!.address, path},
      {name: 'two hops', address: entry!.address, path},
    ],
    rate,
    seconds,
    random: createRandom(seed),
  });
}

async function usageOf(processes: BenchProcess[]): Promise<number[]> {
  const usages = await Promise.all(processes.map(process => process.usage()));
  return usages.map(usage => usage.processor);
}

function latencyRows(rate: number, timed: Map<string, Timed>): Row[] {
  const rows: Row[] = [];
  for (const percentile of [50, 99]) {
    const at = (name: string) =>
      timed.get(name)!.latency.getValueAtPercentile(percentile) / 1000;
    const direct = at('direct');
    const label = `p${percentile} at ${rate}/s`;
    rows.push({figure: `direct ${label}`, unit: 'ms', value: direct});
    for (const name of ['one hop', 'two hops']) {
      rows.push(compare(`${name} ${label}`, 'ms', at(name), direct));
      rows.push({
        figure: `${name} adds, ${label}`,
        unit: 'ms',
        value: at(name) - direct,
      });
    }
  }
  return rows;
}

export const experiment: Experiment = {
  name: 'request-latency',
  about: 'latency that entry and gate add to a call, by calls a second',
  baseline: 'the same call sent to the upstream directly',
  seconds: 45,
  run,
};
