import {readFileSync} from 'node:fs';

/** Memory of one process, in megabytes. */
export interface Memory {
  /** Resident pages. */
  readonly resident: number;
  /** Resident pages that are not shared and were written to. */
  readonly privateDirty: number;
  /** All resident pages that are not shared with other processes. */
  readonly private: number;
}

const kilobytesPerMegabyte = 1024;

/** Reads the memory of a process from its smaps_rollup file (Linux only). */
export function readMemory(pid: number): Memory {
  const text = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
  const megabytes = (key: string) => {
    const match = new RegExp(`^${key}: +(\\d+) kB$`, 'm').exec(text);
    return Number(match?.[1] ?? NaN) / kilobytesPerMegabyte;
  };
  return {
    resident: megabytes('Rss'),
    privateDirty: megabytes('Private_Dirty'),
    private: megabytes('Private_Dirty') + megabytes('Private_Clean'),
  };
}
