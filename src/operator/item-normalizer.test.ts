import test from 'ava';
import type {Item} from '../configuration/configuration.js';
import {configurationCodes} from '../configuration/codes.js';
import {createItemNormalizer} from './item-normalizer.js';

const item = (name: string): Item => ({
  kind: 'service',
  value: {name, slowStart: 0},
});

test('an item that was normalized before gives the same object again', async t => {
  const normalizer = createItemNormalizer();
  const kept = item('records');
  const first = await normalizer.normalize([kept]);
  const next = await normalizer.normalize([item('uploads'), kept]);
  if (!first.ok || !next.ok) return t.fail('not normalized');
  t.is(next.value[1], first.value[0]);
  t.deepEqual(next.value[0], item('uploads'));
});

test('the first invalid item is reported with its index, also among cached items', async t => {
  const normalizer = createItemNormalizer();
  const kept = item('records');
  await normalizer.normalize([kept]);
  const normalized = await normalizer.normalize([kept, item('Not A Name')]);
  t.false(normalized.ok);
  if (normalized.ok) return;
  t.is(normalized.code, configurationCodes.invalidInput);
  t.regex(normalized.message, /^1\.value\.name: /);
});
