/**
 * Copies a value with sorted keys and without undefined members. Equal values
 * are then encoded as equal bytes, regardless of the codec or process that
 * created them.
 */
export function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).filter(
    ([, member]) => member !== undefined,
  );
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(
    entries.map(([key, member]) => [key, sortKeys(member)]),
  );
}
