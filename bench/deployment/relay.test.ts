import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {parseAddress} from '../../src/link/address.js';
import {createRelay} from './relay.js';

test('a cut relay forwards nothing until it is healed, and loses nothing', async t => {
  const server = createServer(socket => socket.pipe(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const relay = await createRelay([`127.0.0.1:${port}`]);
  t.teardown(() => {
    relay.close();
    server.close();
  });
  const address = parseAddress(relay.addresses[0]!);
  const open = () => connect(address.port, address.host);
  const socket = open();
  const received: string[] = [];
  socket.on('data', chunk => received.push(String(chunk)));
  socket.write('one ');
  while (received.join('') !== 'one ') await once(socket, 'data');
  relay.cut();
  socket.write('two ');
  const late = open();
  late.write('late');
  const lateReceived: string[] = [];
  late.on('data', chunk => lateReceived.push(String(chunk)));
  for (let turn = 0; turn < 50; turn++) await new Promise(setImmediate);
  t.is(received.join(''), 'one ');
  t.deepEqual(lateReceived, []);
  relay.heal();
  while (received.join('') !== 'one two ') await once(socket, 'data');
  while (lateReceived.join('') !== 'late') await once(late, 'data');
  t.pass();
});
