/**
 * Header handling at each hop. Headers are kept as a flat list, names and
 * values by turns, in the order in which they came.
 */

/** Names of the headers that foxbarrow itself reads or writes. */
export const headerNames = {
  /** Milliseconds left; the one internal header that a caller may set. */
  timeout: 'foxbarrow-timeout',
  /** Id of the request, the same at each hop. */
  request: 'foxbarrow-request',
  /** Number of a refusal's result code. */
  code: 'foxbarrow-code',
  /** `not-run` or `unknown`. */
  effect: 'foxbarrow-effect',
  /** The instance that an entry means; checked by the gate. */
  instance: 'foxbarrow-instance',
  service: 'foxbarrow-service',
  priority: 'foxbarrow-priority',
  repeatability: 'foxbarrow-repeatability',
  bodyLimit: 'foxbarrow-body-limit',
  /** A gate's running and waiting work over its slots. */
  load: 'foxbarrow-load',
  key: 'idempotency-key',
  retryAfter: 'retry-after',
} as const;

const internalPrefix = 'foxbarrow-';

/** Headers of one connection, never passed on (RFC 9110, 7.6.1). */
const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * The headers that pass to the next hop: neither those of the connection, nor
 * those that `connection` names, nor internal ones. Dropping internal headers
 * keeps a caller or upstream from forging a priority or a refusal.
 */
export function endToEnd(
  raw: readonly (string | Buffer)[],
  dropsInternal = true,
): string[] {
  const named = connectionNames(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = text(raw[index]!);
    const lower = name.toLowerCase();
    if (hopByHop.has(lower) || named?.has(lower)) continue;
    if (dropsInternal && lower.startsWith(internalPrefix)) continue;
    kept.push(name, text(raw[index + 1]!));
  }
  return kept;
}

/** The value of a header in a flat list, by its lower-case name. */
export function findHeader(
  raw: readonly (string | Buffer)[],
  lower: string,
): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!;
    if (name.length !== lower.length) continue;
    if (text(name).toLowerCase() === lower) return text(raw[index + 1]!);
  }
  return undefined;
}

/** How often a header occurs in a flat list. */
export function countHeader(raw: readonly string[], lower: string): number {
  let count = 0;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === lower) count++;
  }
  return count;
}

function connectionNames(
  raw: readonly (string | Buffer)[],
): Set<string> | undefined {
  const value = findHeader(raw, 'connection')?.toLowerCase();
  if (value === undefined) return undefined;
  if (value === 'keep-alive' || value === 'close') return undefined;
  return new Set(value.split(',').map(name => name.trim()));
}

function text(value: string | Buffer): string {
  return typeof value === 'string' ? value : value.toString('latin1');
}
