/** What an upstream reports about itself in the head of an answer. */
export interface UpstreamSignals {
  /** Requests per second that it takes from all nodes together. */
  readonly limit: number | 'none' | 'malformed';
  /** Whether it is shutting down. */
  readonly leaving: 'yes' | 'no' | 'malformed';
  /** Its load; absent if it reports none. */
  readonly load?: InstanceLoad | 'malformed';
}

/** The load of an upstream by its own count. */
export interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  /** Calls that it runs concurrently. */
  readonly slots: number;
  /** How long work takes now, divided by its usual duration. */
  readonly pace?: number;
}

/** A decimal number without sign and exponent. */
const decimal = /^(\d{1,15}(\.\d{0,15})?|\.\d{1,15})$/;

/** Parses the header that names a limit; several values must be equal. */
export function parseLimit(
  values: readonly string[],
): UpstreamSignals['limit'] {
  const texts = new Set(values.map(value => value.trim()));
  if (texts.size === 0) return 'none';
  const [text] = texts;
  if (texts.size > 1 || !decimal.test(text!)) return 'malformed';
  return Number(text);
}

/** Parses the header that reports a shutdown: `1`, or `0` like no header. */
export function parseLeaving(
  values: readonly string[],
): UpstreamSignals['leaving'] {
  const texts = new Set(values.map(value => value.trim()));
  if (texts.has('1')) return 'yes';
  texts.delete('0');
  return texts.size === 0 ? 'no' : 'malformed';
}

/** Running, waiting, slots and optionally the duration in percent. */
const loadForm =
  /^(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})(?:\s*,\s*(\d{1,5}(?:\.\d{1,6})?))?$/;

/**
 * Parses the header that reports a load; several values must be equal. An
 * upstream without slots, or whose work takes no time, reports nothing usable.
 */
export function parseLoad(values: readonly string[]): UpstreamSignals['load'] {
  const texts = new Set(values.map(value => value.trim()));
  if (texts.size === 0) return undefined;
  const [text] = texts;
  const match = texts.size === 1 ? loadForm.exec(text!) : null;
  if (match === null) return 'malformed';
  const [, running, waiting, slots, percent] = match;
  const pace = percent === undefined ? undefined : Number(percent) / 100;
  if (Number(slots) === 0 || pace === 0) return 'malformed';
  return {
    running: Number(running),
    waiting: Number(waiting),
    slots: Number(slots),
    ...(pace !== undefined && {pace}),
  };
}
