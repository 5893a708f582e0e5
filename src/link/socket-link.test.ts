import {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {nextTurn} from '../time/turn.js';
import {createPlainCodec} from './codec.js';
import {createFrameReader} from './frame.js';
import {createSocketLink} from './socket-link.js';

const codec = createPlainCodec();

/** Creates a link on a fake socket that counts writes and decodes their messages. */
function setUp() {
  const messages: unknown[] = [];
  let writes = 0;
  let onIdle: (() => void) | undefined;
  let isHeld = false;
  const timers = createFakeTimers();
  const reader = createFrameReader(1024, frame =>
    messages.push(codec.decode(frame)),
  );
  const socket = new Duplex({
    read: () => {},
    write: (chunk: Buffer, _encoding, done) => {
      writes++;
      reader.push(chunk);
      if (!isHeld) done();
    },
  });
  const counted = Object.assign(socket, {
    setNoDelay: () => {},
    setKeepAlive: () => {},
    setTimeout: (_timeout: number, observe: () => void) => {
      onIdle = observe;
    },
    bytesWritten: 0,
  }) as unknown as Socket;
  const link = createSocketLink(counted, {
    messageLimit: 1024,
    codec,
    timers,
  });
  const idle = () => onIdle?.();
  /** The other end takes no more bytes. */
  const hold = () => {
    isHeld = true;
  };
  return {link, socket, messages, timers, writes: () => writes, idle, hold};
}

// With a separate write for each frame, each frame of a response costs a system
// call.
test('messages of one turn of the event loop are sent in order in one write', async t => {
  const {link, messages, writes} = setUp();
  for (const message of ['head', 'data', 'end']) link.send(message);
  t.is(writes(), 0);
  await nextTurn();
  t.deepEqual(messages, ['head', 'data', 'end']);
  t.is(writes(), 1);
  link.send('next');
  await nextTurn();
  t.is(writes(), 2);
});

test('messages that wait for the end of the turn are pending', async t => {
  const {link} = setUp();
  link.send('head');
  t.true(link.pending > 0);
  t.is(link.bytesOut, link.pending);
  await nextTurn();
  t.is(link.pending, 0);
});

test('a close sends the messages that were sent before it', async t => {
  const {link, socket, messages} = setUp();
  link.send('refused');
  link.close();
  await nextTurn();
  t.deepEqual(messages, ['refused']);
  t.true(socket.writableEnded);
});

// Guards against a process that runs out of file descriptors because the other
// end of its closed links is suspended or cut off and never closes its side.
test('a closed link to a silent other end gives up its socket', async t => {
  const {link, socket, idle} = setUp();
  let isClosed = false;
  link.onClose(() => (isClosed = true));
  link.close();
  await nextTurn();
  t.false(socket.destroyed);
  idle();
  await nextTurn();
  t.true(socket.destroyed && isClosed);
});

test('a closed link to an other end that sends without end gives up its socket', async t => {
  const {link, socket, timers, idle} = setUp();
  link.close();
  await nextTurn();
  for (let second = 0; second < 2; second++) {
    t.false(socket.destroyed);
    socket.push('x');
    timers.advance(1000);
    await nextTurn();
  }
  t.true(socket.destroyed);
  idle();
});

test('while a closed link has messages to send, bytes of the other end are no activity', async t => {
  const {link, socket, timers, hold, idle} = setUp();
  hold();
  link.send('unsent');
  link.close();
  await nextTurn();
  socket.push('x');
  timers.advance(10_000);
  await nextTurn();
  t.true(socket.isPaused());
  t.false(socket.destroyed);
  idle();
  await nextTurn();
  t.true(socket.destroyed);
});

test('an aborted link sends no more messages', async t => {
  const {link, messages} = setUp();
  link.send('late');
  link.destroy();
  await nextTurn();
  t.deepEqual(messages, []);
});
