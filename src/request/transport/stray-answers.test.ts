import test from 'ava';
import {createStrayAnswerFilter} from './stray-answers.js';
import type {StrayAnswer} from './stray-answers.js';

const header = 'foxbarrow-request-id';
const own = 'HTTP/1.1 200 OK\r\nFoxbarrow-Request-Id: own\r\n\r\nbody';
const stray =
  'HTTP/1.1 503 Full\r\nContent-Length: 4\r\nFOXBARROW-REQUEST-ID:other \r\n\r\nfull';

/** What passes the filter of a request `own`, and the statuses removed. */
function filterOf(method = 'GET') {
  const filter = createStrayAnswerFilter();
  const statuses: number[] = [];
  const identity = {
    header,
    id: 'own',
    onStray: ({status}: StrayAnswer) => statuses.push(status),
  };
  filter.expect(method, identity);
  const pass = (...texts: string[]) =>
    texts
      .map(text => filter.filter(Buffer.from(text, 'latin1')))
      .map(bytes => bytes.toString('latin1'))
      .join('');
  return {filter, identity, statuses, pass};
}

test('answers to other requests are removed wherever the bytes are split', t => {
  const text = stray + stray + own;
  for (let first = 0; first <= text.length; first++) {
    for (const second of [first, first + 1, first + 40]) {
      const {pass, statuses} = filterOf();
      const parts = [
        text.slice(0, first),
        text.slice(first, second),
        text.slice(second),
      ];
      t.is(pass(...parts), own, `split at ${first} and ${second}`);
      t.deepEqual(statuses, [503, 503]);
    }
  }
  const {pass} = filterOf();
  t.is(pass(...text), own);
});

test('after the own answer all bytes pass until the next request', t => {
  const {filter, identity, pass} = filterOf();
  t.is(pass(own, stray), own + stray);
  filter.expect('GET', {...identity, id: 'next'});
  t.is(pass(own.replace('body', '')), own.replace('body', ''));
  filter.expect('GET', undefined);
  t.is(pass(stray), stray);
});

test('an interim answer passes, and answers after it are checked', t => {
  const interim = 'HTTP/1.1 102 Processing\r\n\r\n';
  const {pass} = filterOf();
  t.is(pass(interim + stray + interim, stray + own), interim + interim + own);
});

test('bytes that are no answer, or an answer without the id, pass at once', t => {
  for (const text of [
    'garbage',
    '\r\nHTTP/1.1 200 OK\r\n',
    'HTTP/1.1 abc\r\n\r\n',
    'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n',
    `HTTP/1.1 200 OK\r\nx: ${'x'.repeat(20_000)}`,
  ]) {
    const {pass, statuses} = filterOf();
    t.is(pass(text), text);
    t.is(pass(stray), stray);
    t.is(statuses.length, 0);
  }
});

test('an answer whose end can not be told passes, as later bytes may be its own', t => {
  for (const length of [
    '',
    'Transfer-Encoding: chunked\r\nContent-Length: 4\r\n',
    'Content-Length: 4\r\nContent-Length: 5\r\n',
    'Content-Length: +4\r\n',
    'Content-Length: \r\n',
  ]) {
    const text = stray.replace('Content-Length: 4\r\n', length);
    const {pass, statuses} = filterOf();
    t.is(pass(text + own), text + own);
    t.is(statuses.length, 0);
  }
});

test('on a connection that carried a HEAD request no answer is removed', t => {
  const {filter, identity, pass} = filterOf('HEAD');
  t.is(pass(stray), stray);
  filter.expect('GET', identity);
  t.is(pass(stray), stray);
});

test('a limited number and size of answers to other requests is removed', t => {
  const announced = (size: number) =>
    stray.replace('Length: 4', `Length: ${size}`).replace('full', '');
  const limit = 4 * 1024 * 1024;
  const few = filterOf();
  t.is(few.pass(stray.repeat(64), own), own);
  t.false(few.filter.isFull);
  const many = filterOf();
  t.is(many.pass(stray.repeat(65) + own), '');
  t.true(many.filter.isFull);
  t.is(many.statuses.length, 65);
  many.filter.expect('GET', many.identity);
  t.false(many.filter.isFull);
  const size = limit - announced(limit).length;
  const large = filterOf();
  t.is(large.pass(announced(size), 'x'.repeat(size), own), own);
  t.false(large.filter.isFull);
  const endless = filterOf();
  t.is(endless.pass(announced(size + 1)), '');
  t.true(endless.filter.isFull);
});
