import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

const microsecondsPerSecond = 1_000_000;

/**
 * Publishes the processor time, memory and start time of the process, which are
 * read only when metrics are collected. The default metrics of prom-client are
 * not used because they also sample the event loop every 10 ms, which costs
 * processor time even in an idle process.
 */
export function publishProcessMetrics(
  registry: Registry,
  started: number,
): void {
  const registers = [registry];
  let reported = 0;
  new Counter({
    name: 'process_cpu_seconds_total',
    help: 'Processor time used, in seconds.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      const used = (user + system) / microsecondsPerSecond;
      this.inc(used - reported);
      reported = used;
    },
  });
  new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Memory in use, in bytes.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  new Gauge({
    name: 'process_heap_bytes',
    help: 'Memory in use by the heap, in bytes.',
    registers,
    collect() {
      this.set(process.memoryUsage().heapUsed);
    },
  });
  new Gauge({
    name: 'process_start_time_seconds',
    help: 'Start of the process, in seconds since the epoch.',
    registers,
  }).set(started / 1000);
}
