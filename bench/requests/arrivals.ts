/**
 * Open-loop arrivals: calls arrive at random times, independent of the answers
 * to earlier calls.
 */
import {Agent, request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Random} from '../../src/random/random.js';

/** A kind of call whose latency is measured. */
export interface Target {
  readonly name: string;
  readonly address: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
}

/** Options of timeArrivals. */
export interface ArrivalOptions {
  readonly targets: readonly Target[];
  /** Calls per second to each target. */
  readonly rate: number;
  readonly seconds: number;
  readonly random: Random;
}

/** The results of the calls to one target. */
export interface Timed {
  /** Latencies of complete answers with status 200, in microseconds. */
  readonly latency: Histogram;
  readonly failed: number;
}

/**
 * Calls all targets in the same run, each call to a random target, so that
 * their figures are comparable.
 */
export async function timeArrivals(
  options: ArrivalOptions,
): Promise<Map<string, Timed>> {
  const {targets, random} = options;
  const results = new Map<string, {latency: Histogram; failed: number}>();
  for (const {name} of targets) {
    results.set(name, {latency: build(), failed: 0});
  }
  const agent = new Agent({keepAlive: true, maxSockets: 256});
  const openCalls = new Set<Promise<void>>();
  const start = performance.now();
  const end = start + options.seconds * 1000;
  let scheduledAt = start;
  while (scheduledAt < end) {
    scheduledAt +=
      -Math.log(1 - random.fraction()) * (1000 / options.rate / targets.length);
    const wait = scheduledAt - performance.now();
    if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait));
    const target = random.pick(targets);
    const call = timeCall(agent, target, results.get(target.name)!);
    openCalls.add(call);
    void call.finally(() => openCalls.delete(call));
  }
  await Promise.all(openCalls);
  agent.destroy();
  return results;
}

function timeCall(
  agent: Agent,
  target: Target,
  result: {latency: Histogram; failed: number},
): Promise<void> {
  const [host, port] = target.address.split(':');
  const {path, headers} = target;
  const startedAt = performance.now();
  return new Promise(resolve => {
    const call = request({agent, host, port, path, headers}, answer => {
      answer.resume();
      answer.on('close', () => {
        const isWhole = answer.complete && answer.statusCode === 200;
        const latency = Math.round((performance.now() - startedAt) * 1000);
        if (isWhole) result.latency.recordValue(Math.max(1, latency));
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
