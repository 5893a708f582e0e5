import {readFileSync, readdirSync} from 'node:fs';

/** Processor time and wake-ups of a process since its start. */
export interface ProcessorUsage {
  /** Milliseconds of processor time of all threads, user and system. */
  readonly processor: number;
  /** The part of `processor` that was spent in the kernel, in steps of 10 ms. */
  readonly system: number;
  /** Voluntary context switches of the main thread. */
  readonly wakeUps: number;
}

/** Ticks per second of the processor times in /proc/PID/stat. */
const ticksPerSecond = 100;

const nanosecondsPerMillisecond = 1e6;

/**
 * Reads the usage of a process (Linux only). The scheduler's figure of each
 * thread is in nanoseconds; /proc/PID/stat counts in steps of 10 ms.
 */
export function readProcessorUsage(pid: number): ProcessorUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const switches = /^voluntary_ctxt_switches:\s+(\d+)$/m.exec(status)?.[1];
  const nanoseconds = readdirSync(`/proc/${pid}/task`)
    .map(thread => `/proc/${pid}/task/${thread}/schedstat`)
    .map(file => Number(readFileSync(file, 'utf8').split(' ')[0]))
    .reduce((sum, time) => sum + time, 0);
  return {
    processor: nanoseconds / nanosecondsPerMillisecond,
    system: (Number(fields[12]) * 1000) / ticksPerSecond,
    wakeUps: Number(switches),
  };
}
