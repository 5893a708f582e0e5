import test from 'ava';
import {createAnswerSizes} from './answer-sizes.js';

test('answers of a route are large when most of them are', t => {
  const sizes = createAnswerSizes();
  t.false(sizes.isLarge('archives'));
  sizes.add('archives', 90_000);
  sizes.add('lookups', 400);
  t.true(sizes.isLarge('archives'));
  t.false(sizes.isLarge('lookups'));
});

test('one odd answer does not change what a route’s answers are', t => {
  const sizes = createAnswerSizes();
  for (let count = 0; count < 50; count++) sizes.add('lookups', 400);
  sizes.add('lookups', 120_000);
  t.false(sizes.isLarge('lookups'));
});
