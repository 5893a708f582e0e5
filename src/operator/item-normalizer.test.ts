import test from 'ava';
import type {Item} from '../configuration/configuration.js';
import {configurationCodes} from '../configuration/codes.js';
import {createItemNormalizer} from './item-normalizer.js';

const item = (name: string): Item => ({
  kind: 'service',
  value: {name, slowStart: 0},
});

test('an item that was shaped before is the same object again', async t => {
  const shaper = createItemNormalizer();
  const kept = item('records');
  const first = await shaper.normalize([kept]);
  const next = await shaper.normalize([item('uploads'), kept]);
  if (!first.ok || !next.ok) return t.fail('not shaped');
  t.is(next.value[1], first.value[0]);
  t.deepEqual(next.value[0], item('uploads'));
});

test('the first item that is wrong is told by its place, also beside known ones', async t => {
  const shaper = createItemNormalizer();
  const kept = item('records');
  await shaper.normalize([kept]);
  const shaped = await shaper.normalize([kept, item('Not A Name')]);
  t.false(shaped.ok);
  if (shaped.ok) return;
  t.is(shaped.code, configurationCodes.invalidInput);
  t.regex(shaped.message, /^1\.value\.name: /);
});
