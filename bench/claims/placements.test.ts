import test from 'ava';
import type {Claims} from '../../src/claims/claims.js';
import {createClaims} from '../../src/claims/create-claims.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {createGatePlacement, createKeeperPlacement} from './placements.js';

const timers = createTimers();

/** Books under one key; the gate dies with its claim and tells nobody. */
async function book(claims: Claims): Promise<string> {
  const acquired = await claims.acquire({
    service: 'stock-desk',
    key: 'key',
    fingerprint: 'order',
    deadline: timers.now() + 500,
  });
  return acquired.kind;
}

// What the caller sees: two bookings for one key. Order: the gate that ran the
// first dies before it answers; the resend goes through another gate. What the
// first one knew must not have died with it.
test('claims in a gate’s memory die with it: a resend runs again', async t => {
  const first = createGatePlacement(timers);
  t.is(await book(first.claims), 'granted');
  const second = createGatePlacement(timers);
  t.is(await book(second.claims), 'granted');
});

test('claims with keepers outlive their gate: a resend does not run', async t => {
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
