import murmurhash from 'murmurhash';

/**
 * A map that consists of smaller maps, so that a copy with one changed part
 * costs the number of parts and not that of the entries.
 */
export interface PartedMap<T> extends ReadonlyMap<string, T> {
  readonly parts: ReadonlyArray<ReadonlyMap<string, T>>;
}

/** Returns the part of a name, of a power of two of parts. */
export function partOf(name: string, count: number): number {
  return count === 1 ? 0 : murmurhash.v3(name) % count;
}

/** Creates a map of parts without common names. */
export function createPartedMap<T>(
  parts: ReadonlyArray<ReadonlyMap<string, T>>,
): PartedMap<T> {
  let size = 0;
  for (const part of parts) size += part.size;

  /** Names are in the part that `partOf` gives, unless the source differs. */
  function holderOf(name: string): ReadonlyMap<string, T> | undefined {
    const expected = parts[partOf(name, parts.length)];
    if (expected?.has(name)) return expected;
    return parts.find(part => part.has(name));
  }

  function* entries(): Generator<[string, T], undefined> {
    for (const part of parts) yield* part;
  }

  function* keys(): Generator<string, undefined> {
    for (const part of parts) yield* part.keys();
  }

  function* values(): Generator<T, undefined> {
    for (const part of parts) yield* part.values();
  }

  const map: PartedMap<T> = {
    parts,
    size,
    get: name => holderOf(name)?.get(name),
    has: name => holderOf(name) !== undefined,
    entries,
    keys,
    values,
    [Symbol.iterator]: entries,
    forEach(callback) {
      for (const [name, value] of entries()) callback(value, name, map);
    },
  };
  return map;
}
