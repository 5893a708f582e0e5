import test from 'ava';
import {maxKeyLength} from './key-form.js';
import {readKey} from './key-header.js';

const read = (...values: string[]) => readKey(values, 'Token');

test('the scheme is read without regard to case', t => {
  for (const scheme of ['Token', 'token', 'TOKEN', 'tOkEn']) {
    t.is(read(`${scheme} abc`), 'abc', scheme);
  }
});

test('whitespace around the value and several spaces after the scheme are allowed', t => {
  t.is(read(' \tToken abc\t '), 'abc');
  t.is(read('Token    abc'), 'abc');
});

test('a value without a readable key has none', t => {
  for (const value of [
    '',
    ' ',
    'Token',
    'Token ',
    'Token    ',
    'abc',
    'Tokenabc',
    'Token\tabc',
    'Bearer abc',
    'Tokens abc',
    'Token abc def',
    'Token abc, Token def',
    'Token abc,',
    'Token a\u00fc',
    'Token a\u0000',
  ]) {
    t.is(read(value), undefined, JSON.stringify(value));
  }
});

test('several headers have no key, even if they agree', t => {
  t.is(read(), undefined);
  t.is(read('Token abc', 'Token abc'), undefined);
  t.is(read('Token abc', ''), undefined);
});

test('a key is at most 256 characters long', t => {
  const longest = 'k'.repeat(maxKeyLength);
  t.is(maxKeyLength, 256);
  t.is(read(`Token ${longest}`), longest);
  t.is(read(`Token ${longest}k`), undefined);
  t.is(read(`Token ${'k'.repeat(1024 * 1024)}`), undefined);
});

test('the characters of keys in use are all allowed', t => {
  const key = 'aZ09-._~+/=:!#$%&()*;<>?@[]^`{|}"\'';
  t.is(read(`Token ${key}`), key);
});
