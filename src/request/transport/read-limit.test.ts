import test from 'ava';
import {
  createReadLimit,
  maxOverhead,
  maxOverheadPerByte,
  maxUnwanted,
} from './read-limit.js';

test('a body that is passed on is not limited, in chunks of any size', t => {
  const limit = createReadLimit();
  limit.expect();
  for (const [bodySize, overhead] of [
    [1, 5],
    [1, maxOverheadPerByte],
    [65_536, 0],
  ]) {
    for (let count = 0; count < 100_000; count++) {
      limit.read(bodySize! + overhead!);
      limit.passed(bodySize!);
    }
    t.false(limit.isReached);
  }
});

test('what is no part of a body is limited, for each answer anew', t => {
  const limit = createReadLimit();
  limit.expect();
  limit.read(maxOverhead);
  t.false(limit.isReached);
  limit.read(1);
  t.true(limit.isReached);
  limit.expect();
  t.false(limit.isReached);
});

test('the rest of an answer that is not needed is limited', t => {
  const limit = createReadLimit();
  limit.expect();
  limit.read(2 * maxUnwanted);
  limit.passed(2 * maxUnwanted);
  limit.discard();
  limit.read(maxUnwanted);
  limit.passed(maxUnwanted);
  t.false(limit.isReached);
  limit.discard();
  limit.read(1);
  limit.passed(1);
  t.true(limit.isReached);
});

test('a connection without a request is read once', t => {
  // What came is parsed, which closes the connection unless it is an empty line.
  const limit = createReadLimit();
  limit.expect();
  limit.release();
  limit.discard();
  t.false(limit.isReached);
  limit.read(2);
  t.true(limit.isReached);
});
