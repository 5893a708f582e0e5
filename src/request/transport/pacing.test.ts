import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {bodyRateOf, createUploadPacer} from './pacing.js';

/** Reads of 16 KiB for `duration` milliseconds by `readers` at once; bytes read. */
async function read(readers: number, duration: number): Promise<number> {
  const timers = createFakeTimers();
  const pace = createUploadPacer(bodyRateOf(10), timers);
  const part = 16 * 1024;
  let bytes = 0;
  async function loop(): Promise<void> {
    while (timers.now() < duration) {
      await pace.take(part);
      bytes += part;
    }
  }
  for (let reader = 0; reader < readers; reader++) void loop();
  await timers.advanceAsync(duration);
  return bytes;
}

// Eight uploads come to one VM with a link of 10 Mbit/s. Read as they come they
// fill it, and what its node must hear waits behind them.
for (const readers of [1, 8]) {
  test(`${readers} bodies together leave a tenth of the link free`, async t => {
    const bytes = await read(readers, 4000);
    const share = (bytes * 8) / 4 / 10e6;
    t.true(share > 0.87 && share < 0.93, `${share}`);
  });
}

test('a body that comes alone after a pause is not held up', async t => {
  const timers = createFakeTimers();
  const pace = createUploadPacer(bodyRateOf(10), timers);
  await pace.take(64 * 1024);
  timers.advance(1000);
  await pace.take(64 * 1024);
  t.is(timers.now(), 1000);
});
