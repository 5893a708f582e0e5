import test from 'ava';
import {shortDigest} from '../configuration/short-digest.js';
import {digestOfKey} from './key-digest.js';

// Digests are stored in logs and snapshots, so another form would make every
// known key unknown after an upgrade.
test('the digest of a key has a fixed form', t => {
  t.is(digestOfKey('abc'), 'ungWv48Bz-pBQUDeXa4iI7ADYaOWF3qctBD_YfIAFa0');
});

test('a short digest has eight hexadecimal digits of the digest', t => {
  t.is(shortDigest(digestOfKey('abc')), 'ba7816bf');
});
