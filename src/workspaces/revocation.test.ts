import test from 'ava';
import {areKeysExpired} from './revocation.js';

test('keys are used for four fifths of the time of a revocation', t => {
  t.false(areKeysExpired(0, 5_000));
  t.false(areKeysExpired(4_000, 5_000));
  t.true(areKeysExpired(4_001, 5_000));
});

test('keys that were never confirmed are not used', t => {
  t.true(areKeysExpired(undefined, 5_000));
});

test('without the setting the last known keys are used', t => {
  t.false(areKeysExpired(86_400_000, undefined));
  t.false(areKeysExpired(undefined, undefined));
});
