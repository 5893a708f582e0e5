import test from 'ava';
import {Registry} from 'prom-client';
import {publishProcessMetrics} from './process-metrics.js';

test('processor time increases, and memory and start time are published', async t => {
  const registry = new Registry();
  publishProcessMetrics(registry, 5000);
  const read = async (name: string) => {
    const {values} = await registry.getSingleMetric(name)!.get();
    return values[0]!.value;
  };
  const first = await read('process_cpu_seconds_total');
  for (let turn = 0; turn < 5_000_000; turn++) Math.sqrt(turn);
  t.true((await read('process_cpu_seconds_total')) > first);
  t.true((await read('process_resident_memory_bytes')) > 1e6);
  t.true((await read('process_heap_bytes')) > 1e6);
  t.is(await read('process_start_time_seconds'), 5);
});
