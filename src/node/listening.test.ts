import test from 'ava';
import {createRawServer, unusedAddress} from '../request/fakes/raw-server.js';
import {isListening} from './listening.js';

const timeout = 10_000;

test('an upstream whose process ended is distinguished from one that closes connections', async t => {
  const server = await createRawServer(socket => socket.destroy());
  t.true(await isListening(server.address, timeout));
  await server.close();
  t.false(await isListening(await unusedAddress(), timeout));
});
