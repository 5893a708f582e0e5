/**
 * A gate's estimate for a call of one kind and priority that arrives now; times
 * in milliseconds.
 */
export interface FinishEstimate {
  /** Until the call gets a slot. */
  readonly wait: number;
  /** Within which three in four calls of the kind end. */
  readonly work: number;
  /** By how much each call that arrives earlier delays it if no slot is free. */
  readonly step: number;
}

/** Formats the estimate as the value of a header. */
export function formatEstimate({wait, work, step}: FinishEstimate): string {
  return [wait, work, step].join(',');
}

const number = /^\d{1,9}(\.\d{1,3})?$/;

/** Parses the value of a header; undefined if there is none or it is invalid. */
export function parseEstimate(
  value: string | undefined,
): FinishEstimate | undefined {
  if (value === undefined) return undefined;
  const parts = value.split(',');
  if (parts.length < 3 || !parts.every(part => number.test(part))) {
    return undefined;
  }
  const [wait, work, step] = parts.map(Number);
  return {wait: wait!, work: work!, step: step!};
}
