import test from 'ava';
import type {Workspace} from '../configuration/configuration.js';
import {createKeyIndex} from './key-index.js';

const workspace = (name: string, ...keys: string[]): Workspace => ({
  name,
  keys,
});

const table = (...workspaces: Workspace[]) =>
  new Map(workspaces.map(each => [each.name, each]));

test('a removed key and the keys of a removed workspace are not found', t => {
  const index = createKeyIndex();
  index.update(table(workspace('a', '1', '2'), workspace('b', '3')));
  index.update(table(workspace('a', '2')));
  t.is(index.find('1'), undefined);
  t.is(index.find('2')?.name, 'a');
  t.is(index.find('3'), undefined);
  index.update(table(workspace('a')));
  t.is(index.find('2'), undefined);
});

test('a key that moves between workspaces is found at the new one', t => {
  for (const [from, to] of [
    ['a', 'b'],
    ['b', 'a'],
  ] as const) {
    const index = createKeyIndex();
    index.update(table(workspace(from, '1'), workspace(to)));
    index.update(table(workspace(from), workspace(to, '1')));
    t.is(index.find('1')?.name, to);
  }
});

test('an update touches only the workspaces that differ', t => {
  // With 50,000 keys a full rebuild would stop the event loop at each change.
  let reads = 0;
  const counted = (name: string, key: string): Workspace => ({
    name,
    get keys() {
      reads++;
      return [key];
    },
  });
  const index = createKeyIndex();
  const all = Array.from({length: 1000}, (_none, at) =>
    counted(`w${at}`, `k${at}`),
  );
  index.update(table(...all));
  reads = 0;
  index.update(table(...all.with(500, counted('w500', 'new'))));
  t.is(reads, 2);
  t.is(index.find('new')?.name, 'w500');
  t.is(index.find('k500'), undefined);
  t.is(index.find('k999')?.name, 'w999');
});

test('random changes leave the same index as a new one', t => {
  const index = createKeyIndex();
  let state = 1;
  const random = (below: number) => {
    state = (state * 48_271) % 2_147_483_647;
    return state % below;
  };
  let current = new Map<string, Workspace>();
  for (let round = 0; round < 300; round++) {
    // Each key belongs to one workspace at most, as in a valid configuration.
    const free = new Set(Array.from({length: 12}, (_none, at) => `k${at}`));
    const next = new Map(current);
    const name = `w${random(5)}`;
    next.delete(name);
    for (const {keys} of next.values()) keys.forEach(key => free.delete(key));
    const keys = [...free].filter(() => random(3) === 0);
    if (random(4) > 0) next.set(name, {name, keys});
    index.update(next);
    current = next;
    for (let at = 0; at < 12; at++) {
      const owner = [...next.values()].find(({keys}) =>
        keys.includes(`k${at}`),
      );
      t.is(index.find(`k${at}`), owner);
    }
  }
});
