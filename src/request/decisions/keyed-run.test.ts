import test from 'ava';
import {request} from 'undici';
import {createFakeClaims} from '../fakes/fake-claims.js';
import {createMesh} from '../fakes/mesh.js';
import type {Mesh} from '../fakes/mesh.js';
import {openRaw} from '../fakes/raw-client.js';

async function book(mesh: Mesh, key = 'order-7') {
  const answer = await request(`${mesh.url}/bookings`, {
    method: 'POST',
    headers: {'idempotency-key': key},
    body: 'book',
  });
  return {
    status: answer.statusCode,
    effect: answer.headers['foxbarrow-effect'],
    booking: answer.headers['x-booking'],
    text: await answer.body.text(),
  };
}

for (const keepsClaims of [false, true]) {
  test(`a booking sent again with its key, claims kept: ${keepsClaims}`, async t => {
    // The answer is lost and the client sends the request again with the same
    // key. Without the claim the part is booked twice.
    let booked = 0;
    const mesh = await createMesh({
      claims: createFakeClaims(keepsClaims),
      upstreams: [
        (_req, res) => {
          res.setHeader('x-booking', String(++booked));
          res.end(`booking ${booked}`);
        },
      ],
    });
    const first = await book(mesh);
    const again = await book(mesh);
    t.is(booked, keepsClaims ? 1 : 2);
    t.is(again.text, keepsClaims ? first.text : 'booking 2');
    t.is(again.booking, keepsClaims ? '1' : '2');
    await mesh.close();
  });
}

test('a booking that was not run releases its key', async t => {
  let booked = 0;
  const mesh = await createMesh({
    claims: createFakeClaims(),
    upstreams: [(_req, res) => (booked++, res.end('booked'))],
  });
  const {gate} = mesh.members[0]!;
  gate.drain();
  t.is((await book(mesh)).effect, 'not-run');
  gate.undrain();
  mesh.endpoints.put({
    ...mesh.endpoints.instances('stock-desk')[0]!,
    incarnation: 2,
  });
  t.is((await book(mesh)).text, 'booked');
  t.is(booked, 1);
  await mesh.close();
});

test('a booking that may have run keeps its key, and a resend is refused as unknown', async t => {
  let booked = 0;
  const mesh = await createMesh({
    claims: createFakeClaims(),
    upstreams: [(_req, res) => (booked++, res.destroy())],
  });
  t.is((await book(mesh)).effect, 'unknown');
  t.is((await book(mesh)).effect, 'unknown');
  t.is(booked, 1);
  await mesh.close();
});

test('a call with a key continues without its caller, and a resend gets its answer', async t => {
  let finish: (() => void) | undefined;
  let booked = 0;
  const mesh = await createMesh({
    claims: createFakeClaims(),
    upstreams: [
      (_req, res) => {
        booked++;
        finish = () => res.end('booked');
      },
    ],
  });
  const {gate} = mesh.members[0]!;
  const caller = openRaw(
    mesh.entry.address,
    'POST /bookings HTTP/1.1\r\nhost: a\r\nidempotency-key: order-7\r\ncontent-length: 4\r\n\r\nbook',
  );
  while (finish === undefined) await tick();
  caller.destroy();
  for (let turn = 0; turn < 20; turn++) await tick();
  t.is(gate.running, 1);
  finish();
  while (gate.running > 0) await tick();
  t.is((await book(mesh)).text, 'booked');
  t.is(booked, 1);
  await mesh.close();
});

test('a call with a key is not run if keys can’t be claimed', async t => {
  let booked = 0;
  const mesh = await createMesh({upstreams: [() => booked++]});
  t.is((await book(mesh)).effect, 'not-run');
  t.is(booked, 0);
  await mesh.close();
});

function tick(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1));
}
