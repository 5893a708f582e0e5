import test from 'ava';
import {createFakeNetwork} from '../link/fakes/fake-network.js';
import type {Link} from '../link/link.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createMeteredNetwork} from './metered-network.js';
import {createNoMetrics} from './metrics.js';

test('bytes are counted each second and once more when a link ends', async t => {
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
  const got: unknown[] = [];
  await network.from('far').listen('far', (link: Link) => {
    link.onMessage(message => got.push(message));
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
  t.is(total.sent, link.bytesOut, 'the last bytes are not lost');
  t.is(ends, 1);
  await timers.advanceAsync(5000);
  t.is(total.sent, link.bytesOut, 'a closed link is not counted again');
  t.deepEqual(got, ['first', 'second']);
});
