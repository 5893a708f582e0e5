import test from 'ava';
import {createPartedMap, partOf} from './parted-map.js';

const names = Array.from({length: 100}, (_, at) => `w-${at}`);

function partsOf(count: number) {
  const parts = Array.from({length: count}, () => new Map<string, number>());
  for (const [at, name] of names.entries()) {
    parts[partOf(name, count)]!.set(name, at);
  }
  return parts;
}

// Guards against readers that get another answer from parts than from one map.
test('a map of parts answers like a single map', t => {
  const single = new Map(names.map((name, at) => [name, at]));
  const sorted = (entries: Iterable<[string, number]>) => [...entries].sort();
  for (const count of [1, 4, 16]) {
    const map = createPartedMap(partsOf(count));
    t.is(map.size, 100);
    t.deepEqual(sorted(map), sorted(single));
    t.deepEqual(sorted(map.entries()), sorted(single));
    t.deepEqual([...map.keys()].sort(), [...names].sort());
    t.is([...map.values()].length, 100);
    for (const name of [...names, 'w-100', '']) {
      t.is(map.get(name), single.get(name));
      t.is(map.has(name), single.has(name));
    }
    const seen = new Map<string, number>();
    map.forEach((value, name) => seen.set(name, value));
    t.deepEqual(sorted(seen), sorted(single));
  }
  const empty = createPartedMap<number>([]);
  t.is(empty.size, 0);
  t.is(empty.get('w-1'), undefined);
});

// Guards against a source of another release that divides names otherwise.
test('a name in another part than expected is found', t => {
  const map = createPartedMap([...partsOf(4)].reverse());
  for (const [at, name] of names.entries()) t.is(map.get(name), at);
});
