import test from 'ava';
import {compress, decompress} from './compression.js';

test('large data is compressed and restored', t => {
  const bytes = Buffer.from('{"prefix":"/stock/"}'.repeat(1_000));
  const compressed = compress(bytes);
  t.true(compressed.length < bytes.length / 10);
  t.true(bytes.equals(decompress(compressed)));
});

test('small data stays uncompressed, like data of older releases', t => {
  const bytes = Buffer.from([0x81, 0xa1, 0x61, 0x01]);
  t.is(compress(bytes), bytes);
  t.is(decompress(bytes), bytes);
});

test('damaged compressed data causes an error', t => {
  const compressed = Buffer.from(compress(Buffer.alloc(10_000, 'ab')));
  compressed.fill(0xff, 1, 12);
  t.throws(() => decompress(compressed));
});
