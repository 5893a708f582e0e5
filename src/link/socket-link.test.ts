import {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import test from 'ava';
import {nextTurn} from '../time/turn.js';
import {createPlainCodec} from './codec.js';
import {createFrameReader} from './frame.js';
import {createSocketLink} from './socket-link.js';

const codec = createPlainCodec();

/** Creates a link on a fake socket that counts writes and decodes their messages. */
function setUp() {
  const messages: unknown[] = [];
  let writes = 0;
  const reader = createFrameReader(1024, frame =>
    messages.push(codec.decode(frame)),
  );
  const socket = new Duplex({
    read: () => {},
    write: (chunk: Buffer, _encoding, done) => {
      writes++;
      reader.push(chunk);
      done();
    },
  });
  const counted = Object.assign(socket, {
    setNoDelay: () => {},
    setKeepAlive: () => {},
    bytesWritten: 0,
  }) as unknown as Socket;
  const link = createSocketLink(counted, {messageLimit: 1024, codec});
  return {link, socket, messages, writes: () => writes};
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

test('an aborted link sends no more messages', async t => {
  const {link, messages} = setUp();
  link.send('late');
  link.destroy();
  await nextTurn();
  t.deepEqual(messages, []);
});
