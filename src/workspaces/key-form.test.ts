import test from 'ava';
import {isKey} from './key-form.js';

// Guards against keys that an `Authorization` header can't carry unchanged.
test('a key has 1 to 256 visible ASCII characters without commas', t => {
  for (const key of ['a', '!~', '"', 'k'.repeat(256)]) t.true(isKey(key), key);
  for (const key of ['', 'a b', 'a,b', 'a\n', '\ta', 'é', 'k'.repeat(257)]) {
    t.false(isKey(key), JSON.stringify(key));
  }
});
