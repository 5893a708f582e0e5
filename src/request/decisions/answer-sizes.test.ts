import test from 'ava';
import {createAnswerSizes} from './answer-sizes.js';

test('answers of a policy are large if their mean is large', t => {
  const sizes = createAnswerSizes();
  t.false(sizes.isLarge('archives'));
  sizes.add('archives', 90_000);
  sizes.add('lookups', 400);
  t.true(sizes.isLarge('archives'));
  t.false(sizes.isLarge('lookups'));
});

test('a single outlier does not change the size of a policy’s answers', t => {
  const sizes = createAnswerSizes();
  for (let count = 0; count < 50; count++) sizes.add('lookups', 400);
  sizes.add('lookups', 120_000);
  t.false(sizes.isLarge('lookups'));
});
