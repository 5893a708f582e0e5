import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import type {Answer} from '../messages/answer.js';
import {createEgressQueue} from './egress-queue.js';

const rate = 1_000_000;
const large = 100_000;

function createFixture() {
  const timers = createFakeTimers();
  const egressQueue = createEgressQueue({rate, timers});
  const written = {total: 0};
  /** Creates an answer in the egress queue, and records what it writes. */
  function openAnswer(takes: (bytes: number) => boolean = () => true) {
    const inner = createFakeAnswer();
    const state = {bytes: 0, end: 'none', resume: () => {}};
    const receiver: Answer = Object.assign(inner, {
      write(chunk: Buffer) {
        state.bytes += chunk.length;
        written.total += chunk.length;
        return takes(state.bytes);
      },
      onDrain: (resume: () => void) => void (state.resume = resume),
      end: () => void (state.end = 'whole'),
      cut: () => void (state.end = 'cut'),
    });
    const answer = egressQueue.to(receiver);
    answer.start({status: 200, reason: '', headers: []});
    return {answer, state};
  }
  return {timers, egressQueue, openAnswer, written};
}

test('large answers are sent one after the other at the rate', t => {
  const {timers, egressQueue, openAnswer, written} = createFixture();
  const first = openAnswer();
  const second = openAnswer();
  for (const {answer} of [first, second]) {
    answer.write(Buffer.alloc(large));
    answer.end();
  }
  timers.advance(100);
  t.is(first.state.end, 'whole');
  t.is(second.state.end, 'none');
  t.true(written.total < 0.15 * rate, `${written.total}`);
  t.is(egressQueue.waiting, 2 * large - written.total);
  timers.advance(100);
  t.is(second.state.end, 'whole');
  t.is(egressQueue.waiting, 0);
});

test('a small answer is sent at once while large ones wait', t => {
  const {openAnswer} = createFixture();
  openAnswer().answer.write(Buffer.alloc(large));
  const small = openAnswer();
  small.answer.write(Buffer.alloc(400));
  small.answer.end();
  t.is(small.state.bytes, 400);
  t.is(small.state.end, 'whole');
});

test('small answers count against the rate of the large ones', t => {
  const {timers, openAnswer, written} = createFixture();
  openAnswer().answer.write(Buffer.alloc(10 * large));
  const period = 10;
  timers.every(period, () => {
    const small = openAnswer();
    small.answer.write(Buffer.alloc(5_000));
    small.answer.end();
  });
  timers.advance(1000);
  t.true(written.total < 1.06 * rate, `${written.total}`);
});

test('a blocked receiver delays only its own answer', t => {
  const {timers, egressQueue, openAnswer} = createFixture();
  const slow = openAnswer(bytes => bytes < 30_000);
  const next = openAnswer();
  for (const {answer} of [slow, next]) {
    answer.write(Buffer.alloc(large));
    answer.end();
  }
  timers.advance(200);
  t.is(next.state.end, 'whole');
  t.is(slow.state.end, 'none');
  t.is(
    egressQueue.waiting,
    0,
    'bytes that wait for a receiver are not counted as waiting for the link',
  );
  for (let turn = 0; turn < 20; turn++) {
    slow.state.resume();
    timers.advance(20);
  }
  t.is(slow.state.end, 'whole');
  t.is(slow.state.bytes, large);
});

test('a sender is paused at the buffer limit and resumed when there is room', t => {
  const {timers, openAnswer} = createFixture();
  const {answer} = openAnswer();
  let parts = 0;
  while (answer.write(Buffer.alloc(large))) parts++;
  t.true(parts < 12, `${parts}`);
  let resumed = 0;
  answer.onDrain(() => void resumed++);
  t.is(resumed, 0);
  timers.advance(200);
  t.is(resumed, 1);
});

for (const end of ['cut', 'drop'] as const) {
  test(`an answer that ends early releases its buffered bytes, by ${end}`, t => {
    const {timers, egressQueue, openAnswer} = createFixture();
    const first = openAnswer();
    const second = openAnswer();
    first.answer.write(Buffer.alloc(large));
    second.answer.write(Buffer.alloc(large));
    first.answer[end]();
    const {bytes} = first.state;
    first.answer.write(Buffer.alloc(large));
    first.answer.end();
    t.is(first.state.end, end === 'cut' ? 'cut' : 'none');
    second.answer.end();
    timers.advance(150);
    t.is(second.state.end, 'whole');
    t.is(egressQueue.waiting, 0);
    t.is(first.state.bytes, bytes);
  });
}

test('an endless answer does not block the large ones behind it', t => {
  const {timers, openAnswer} = createFixture();
  const endless = openAnswer();
  function writeMore(): void {
    while (endless.answer.write(Buffer.alloc(large)));
    endless.answer.onDrain(writeMore);
  }
  writeMore();
  const second = openAnswer();
  second.answer.write(Buffer.alloc(large));
  second.answer.end();
  timers.advance(1000);
  t.is(second.state.end, 'whole');
  t.true(endless.state.bytes > 0.85 * rate, `${endless.state.bytes}`);
});

// A request with an idempotency key continues after its caller has left, and
// its answer is stored for retries.
test('a paused sender is resumed when its receiver has disconnected', t => {
  const {timers, openAnswer} = createFixture();
  const {answer} = openAnswer();
  while (answer.write(Buffer.alloc(large)));
  let resumed = 0;
  answer.onDrain(() => void resumed++);
  answer.drop();
  t.is(resumed, 1);
  t.true(answer.write(Buffer.alloc(large)));
  timers.advance(1000);
  t.is(resumed, 1);
});

test('an endless answer takes turns with the others', t => {
  const {timers, openAnswer} = createFixture();
  const film = openAnswer();
  const writeMore = () => {
    while (film.answer.write(Buffer.alloc(large)));
    film.answer.onDrain(writeMore);
  };
  writeMore();
  const archive = openAnswer();
  archive.answer.write(Buffer.alloc(large));
  archive.answer.end();
  timers.advance(400);
  t.is(archive.state.end, 'whole');
});

test('the rate of small answers does not include the beginnings of large ones', t => {
  const {timers, egressQueue, openAnswer} = createFixture();
  timers.every(10, () => openAnswer().answer.write(Buffer.alloc(3_000)));
  timers.every(100, () => {
    const {answer} = openAnswer();
    answer.write(Buffer.alloc(8_000));
    answer.write(Buffer.alloc(40_000));
    answer.end();
  });
  timers.advance(10_000);
  t.true(
    Math.abs(egressQueue.taken - 300_000) < 15_000,
    `${egressQueue.taken}`,
  );
});
