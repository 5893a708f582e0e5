import {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import test from 'ava';
import {nextTurn} from '../time/turn.js';
import {createPlainCodec} from './codec.js';
import {createFrameReader} from './frame.js';
import {createSocketLink} from './socket-link.js';

const codec = createPlainCodec();

/** A link on a socket that counts its writes and reads their messages. */
function stage() {
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

// Each frame of an answer cost a write of its own to the system.
test('messages of one turn leave in order and in one write', async t => {
  const {link, messages, writes} = stage();
  for (const message of ['head', 'data', 'end']) link.send(message);
  t.is(writes(), 0);
  await nextTurn();
  t.deepEqual(messages, ['head', 'data', 'end']);
  t.is(writes(), 1);
  link.send('next');
  await nextTurn();
  t.is(writes(), 2);
});

test('what waits for the end of the turn is pending', async t => {
  const {link} = stage();
  link.send('head');
  t.true(link.pending > 0);
  t.is(link.bytesOut, link.pending);
  await nextTurn();
  t.is(link.pending, 0);
});

test('a close lets out what was sent before it', async t => {
  const {link, socket, messages} = stage();
  link.send('refused');
  link.close();
  await nextTurn();
  t.deepEqual(messages, ['refused']);
  t.true(socket.writableEnded);
});

test('a link that was broken off sends nothing more', async t => {
  const {link, messages} = stage();
  link.send('late');
  link.destroy();
  await nextTurn();
  t.deepEqual(messages, []);
});
