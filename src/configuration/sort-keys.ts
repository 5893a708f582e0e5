/**
 * Rebuilds a value with its keys in order and without undefined ones. Equal
 * values then give equal bytes, whichever codec or writer they came from.
 */
export function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).filter(([, one]) => one !== undefined);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([key, one]) => [key, sortKeys(one)]));
}
