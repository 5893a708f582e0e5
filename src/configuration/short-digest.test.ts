import test from 'ava';
import {createHash} from 'node:crypto';
import {shortDigest} from './short-digest.js';

// Guards against an operator who can't match a digest in a log line with the
// output of other tools, which print SHA-256 in hexadecimal.
test('a short digest is the start of the hexadecimal SHA-256', t => {
  const hash = createHash('sha256').update('abc').digest();
  const short = shortDigest(hash.toString('base64url'));
  t.is(short, 'ba7816bf');
  t.is(short, hash.toString('hex').slice(0, 8));
});
