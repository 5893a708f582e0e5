import test from 'ava';
import {isAddress} from './address.js';

test('an address is an IP address and an integer port within range', t => {
  for (const text of ['127.0.0.1:1', '10.0.0.9:65535', '[::1]:7000']) {
    t.true(isAddress(text), text);
  }
  for (const text of [
    'localhost:80',
    '127.0.0.1',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:1.5',
    '1.2.3:80',
    ':80',
  ]) {
    t.false(isAddress(text), text);
  }
});
