/** Open-loop arrivals: calls come by chance whether or not answers do. */
import {Agent, request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Random} from '../../src/random/random.js';

/** One kind of call that is timed. */
export interface Target {
  readonly name: string;
  readonly address: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
}

/** How calls come. */
export interface ArrivalOptions {
  readonly targets: readonly Target[];
  /** Calls a second to each target. */
  readonly rate: number;
  readonly seconds: number;
  readonly random: Random;
}

/** What came of the calls to one target. */
export interface Timed {
  /** Latencies of whole answers with status 200, in microseconds. */
  readonly latency: Histogram;
  readonly failed: number;
}

/** Calls each target in turn, in one run, so that their figures compare. */
export async function timeArrivals(
  options: ArrivalOptions,
): Promise<Map<string, Timed>> {
  const {targets, random} = options;
  const results = new Map<string, {latency: Histogram; failed: number}>();
  for (const {name} of targets) {
    results.set(name, {latency: build(), failed: 0});
  }
  const agent = new Agent({keepAlive: true, maxSockets: 256});
  const open = new Set<Promise<void>>();
  const start = performance.now();
  const end = start + options.seconds * 1000;
  let due = start;
  while (due < end) {
    due +=
      -Math.log(1 - random.fraction()) * (1000 / options.rate / targets.length);
    const wait = due - performance.now();
    if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait));
    const target = random.pick(targets);
    const call = time(agent, target, results.get(target.name)!);
    open.add(call);
    void call.finally(() => open.delete(call));
  }
  await Promise.all(open);
  agent.destroy();
  return results;
}

function time(
  agent: Agent,
  target: Target,
  result: {latency: Histogram; failed: number},
): Promise<void> {
  const [host, port] = target.address.split(':');
  const {path, headers} = target;
  const since = performance.now();
  return new Promise(resolve => {
    const call = request({agent, host, port, path, headers}, answer => {
      answer.resume();
      answer.on('close', () => {
        const whole = answer.complete && answer.statusCode === 200;
        const taken = Math.round((performance.now() - since) * 1000);
        if (whole) result.latency.recordValue(Math.max(1, taken));
        else result.failed++;
        resolve();
      });
    });
    call.on('error', () => {
      result.failed++;
      resolve();
    });
    call.end();
  });
}
