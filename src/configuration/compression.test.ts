import test from 'ava';
import {compress, decompress} from './compression.js';

test('what is large is packed and comes back as it was', t => {
  const bytes = Buffer.from('{"prefix":"/stock/"}'.repeat(1_000));
  const packed = compress(bytes);
  t.true(packed.length < bytes.length / 10);
  t.true(bytes.equals(decompress(packed)));
});

test('what is small goes as it is, as all did before', t => {
  const bytes = Buffer.from([0x81, 0xa1, 0x61, 0x01]);
  t.is(compress(bytes), bytes);
  t.is(decompress(bytes), bytes);
});

test('packed bytes that were damaged are an error', t => {
  const packed = Buffer.from(compress(Buffer.alloc(10_000, 'ab')));
  packed.fill(0xff, 1, 12);
  t.throws(() => decompress(packed));
});
