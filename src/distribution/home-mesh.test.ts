import test from 'ava';
import type {Hello} from '../fleet/messages.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import {createHomeMesh} from './home-mesh.js';

/** Milliseconds within which homes that work must have a link again. */
const maxDelay = 1_000;

/**
 * Returns the milliseconds until a home has a link to another one again, from
 * the restart of that one, which was down for `downTime` milliseconds.
 */
async function reconnect(seed: number, downTime: number): Promise<number> {
  const {timers, network, control} = createTestCluster(seed);
  const peer = await control('control-2', createOperator());
  const self: Hello = {
    kind: 'control',
    name: 'control-1',
    failureDomain: 'a',
    region: 'r',
  };
  const mesh = createHomeMesh({
    network: network.from('control-1'),
    self,
    address: '127.0.0.1:1',
    peers: [peer.address],
    timers,
    random: createRandom(seed),
    log: createSilentLog(),
  });
  let links = 0;
  mesh.onChannels(() => links++);
  await timers.advanceAsync(3_000);
  network.kill('control-2');
  await timers.advanceAsync(downTime);
  const linksBefore = links;
  await peer.restart();
  const restartedAt = timers.now();
  while (links === linksBefore && timers.now() - restartedAt < 20_000) {
    await timers.advanceAsync(10);
  }
  return timers.now() - restartedAt;
}

// Guards against instances that get work although they are leaving: a home does
// not hear what they announced to another one, because it waits for many times
// as long as the other one was down before it connects again.
test('a home connects to a restarted one within a second', async t => {
  for (let seed = 1; seed <= 20; seed++) {
    const delay = await reconnect(seed, 10_000);
    t.true(delay <= maxDelay, `seed ${seed}: ${delay} ms`);
  }
});
