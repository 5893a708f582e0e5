/** What an upstream reports about itself in the head of an answer. */
export interface UpstreamSignals {
  /** Requests per second that it takes from all nodes together. */
  readonly limit: number | 'none' | 'malformed';
  /** Whether it is shutting down. */
  readonly leaving: 'yes' | 'no' | 'malformed';
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
