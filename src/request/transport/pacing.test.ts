import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {bodyRateOf, createUploadPacer} from './pacing.js';

/**
 * Number of bytes that `readers` concurrent readers read in `duration`
 * milliseconds, in parts of 16 KiB.
 */
async function read(readers: number, duration: number): Promise<number> {
  const timers = createFakeTimers();
  const pacer = createUploadPacer(bodyRateOf(10), timers);
  const part = 16 * 1024;
  let bytes = 0;
  async function loop(): Promise<void> {
    while (timers.now() < duration) {
      await pacer.take(part);
      bytes += part;
    }
  }
  for (let reader = 0; reader < readers; reader++) void loop();
  await timers.advanceAsync(duration);
  return bytes;
}

// Eight uploads arrive at a VM with a link of 10 Mbit/s. Without a limit they
// saturate the link and delay freshness marks and control messages.
for (const readers of [1, 8]) {
  test(`${readers} concurrent bodies leave a tenth of the link free`, async t => {
    const bytes = await read(readers, 4000);
    const share = (bytes * 8) / 4 / 10e6;
    t.true(share > 0.87 && share < 0.93, `${share}`);
  });
}

test('a single body after a pause is read without delay', async t => {
  const timers = createFakeTimers();
  const pacer = createUploadPacer(bodyRateOf(10), timers);
  await pacer.take(64 * 1024);
  timers.advance(1000);
  await pacer.take(64 * 1024);
  t.is(timers.now(), 1000);
});
