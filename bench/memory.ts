import {readFileSync} from 'node:fs';

/** Memory of one process, in megabytes. */
export interface Memory {
  /** All pages in memory. */
  readonly resident: number;
  /** Pages that it shares with no other process and has written to. */
  readonly privateDirty: number;
  /** All pages that it shares with no other process now. */
  readonly private: number;
}

const kilobytesPerMegabyte = 1024;

/** Reads it from the kernel's summary of the process's mappings. */
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
