import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import test from 'ava';
import {Registry} from 'prom-client';
import {createMetrics} from '../admin/metrics.js';
import {createTcpNetwork} from '../link/tcp-network.js';
import {createFakeNetwork} from '../link/fakes/fake-network.js';
import type {Link} from '../link/link.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createMeteredNetwork} from './metered-network.js';
import {createNoMetrics} from './metrics.js';

test('bytes are counted every second and once more when a link ends', async t => {
  const timers = createFakeTimers();
  const network = createFakeNetwork(timers);
  const total = {received: 0, sent: 0};
  const metrics = Object.assign(createNoMetrics(), {
    traffic(_: string, received: number, sent: number) {
      total.received += received;
      total.sent += sent;
    },
  });
  const near = createMeteredNetwork(
    network.from('near'),
    'distribution',
    metrics,
    timers,
  );
  let ends = 0;
  const messages: unknown[] = [];
  await network.from('far').listen('far', (link: Link) => {
    link.onMessage(message => messages.push(message));
  });
  const opening = near.connect('far');
  await timers.advanceAsync(10);
  const link = await opening;
  link.onClose(() => ends++);

  link.send('first');
  await timers.advanceAsync(1000);
  const counted = total.sent;
  t.is(counted, link.bytesOut);
  t.true(counted > 0);

  link.send('second');
  await timers.advanceAsync(10);
  link.close();
  t.is(total.sent, link.bytesOut, 'the last bytes are counted');
  t.is(ends, 1);
  await timers.advanceAsync(5000);
  t.is(total.sent, link.bytesOut, 'a closed link is not counted again');
  t.deepEqual(messages, ['first', 'second']);
});

test('a link that ends with bytes unsent does not end the process', async t => {
  // The other VM is partitioned and reads no more data, and the link is destroyed.
  // The socket then reports only the bytes that it has sent, which are fewer than
  // were counted before. A counter throws when it is decremented, and an error in an
  // event handler would end the process.
  const timers = createFakeTimers();
  const registry = new Registry();
  const server = createServer(socket => {
    socket.pause();
    socket.on('error', () => {});
    accepted(socket);
  });
  let accepted: (socket: Socket) => void = () => {};
  const far = new Promise<Socket>(resolve => (accepted = resolve));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const network = createMeteredNetwork(
    createTcpNetwork(),
    'distribution',
    createMetrics({registry}),
    timers,
  );
  const link = await network.connect(address);
  const ended = new Promise<void>(resolve => link.onClose(resolve));
  const message = 'x'.repeat(1024 * 1024);
  for (let count = 0; count < 32; count++) link.send(message);
  timers.advance(1_000);
  (await far).resetAndDestroy();
  await ended;
  const text = await registry.metrics();
  const sent = /direction="out"\} (\d+)/.exec(text)?.[1];
  t.true(Number(sent) >= 32 * 1024 * 1024, text);
  await new Promise(resolve => server.close(resolve));
});
