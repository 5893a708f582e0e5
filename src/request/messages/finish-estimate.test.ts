import test from 'ava';
import {formatEstimate, parseEstimate} from './finish-estimate.js';

test('an estimate is the same after it was sent in a header', t => {
  const estimate = {wait: 120, work: 150.5, step: 0};
  t.deepEqual(parseEstimate(formatEstimate(estimate)), estimate);
});

test('a newer version may append values', t => {
  t.deepEqual(parseEstimate('1,2,3,4'), {wait: 1, work: 2, step: 3});
});

// A time that is not a number would win or lose every comparison.
test('a malformed estimate is ignored', t => {
  t.is(parseEstimate(undefined), undefined);
  for (const value of ['', '1,2', '1,2,', '1,-2,3', '1,NaN,3', '1e9,2,3']) {
    t.is(parseEstimate(value), undefined, value);
  }
});
