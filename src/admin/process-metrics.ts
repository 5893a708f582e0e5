import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

const microsecondsPerSecond = 1_000_000;

/**
 * Publishes the process's own processor time, memory and start, read only when
 * they are asked for. The client library's default set also samples the loop
 * each 10 ms, which a process that is mostly idle pays for all the time.
 */
export function publishProcessMetrics(
  registry: Registry,
  started: number,
): void {
  const registers = [registry];
  let counted = 0;
  new Counter({
    name: 'process_cpu_seconds_total',
    help: 'Processor time used, in seconds.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      const used = (user + system) / microsecondsPerSecond;
      this.inc(used - counted);
      counted = used;
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
