import test from 'ava';
import type {Claims} from '../../src/claims/claims.js';
import {createClaims} from '../../src/claims/create-claims.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {createGatePlacement, createKeeperPlacement} from './placements.js';

const timers = createTimers();

/**
 * Acquires a claim for a booking and never settles it, like a gate that
 * crashes.
 */
async function book(claims: Claims): Promise<string> {
  const acquired = await claims.acquire({
    service: 'stock-desk',
    key: 'key',
    fingerprint: 'order',
    deadline: timers.now() + 500,
  });
  return acquired.kind;
}

// Guards against two bookings for one idempotency key. The gate that runs the
// first booking crashes before it answers, and the caller sends the request
// again through another gate. The claim must survive the crash of the first
// gate.
test('claims in a gate’s memory are lost with the gate, and a repeated request runs again', async t => {
  const first = createGatePlacement(timers);
  t.is(await book(first.claims), 'granted');
  const second = createGatePlacement(timers);
  t.is(await book(second.claims), 'granted');
});

test('claims with keepers survive a crash of the gate, and a repeated request does not run', async t => {
  const network = createTcpNetwork();
  const first = await createKeeperPlacement(timers, network);
  t.is(await book(first.claims), 'granted');
  const second = createClaims({
    self: 'gate/2',
    network,
    timers,
    random: createRandom(2),
    log: createSilentLog(),
    assignment: () => first.assignment,
  });
  t.is(await book(second), 'refused');
  second.stop();
  await first.stop();
});
