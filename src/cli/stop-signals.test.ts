import {EventEmitter} from 'node:events';
import test from 'ava';
import {settle} from '../time/fakes/fake-timers.js';
import {createSilentLog} from '../log/log.js';
import {handleStopSignals} from './stop-signals.js';

function start(stop: () => Promise<void>, isKilledLater = false) {
  const signals = new EventEmitter();
  const exits: number[] = [];
  const exit = (code: number) => void exits.push(code);
  const log = createSilentLog();
  handleStopSignals({signals, stop, isKilledLater, exit, log});
  return {signals, exits};
}

test('a stop signal starts one planned stop and exits 0 when it has ended', async t => {
  let finish = () => {};
  let stops = 0;
  const {signals, exits} = start(() => {
    stops++;
    return new Promise(resolve => (finish = resolve));
  });
  signals.emit('SIGTERM');
  await settle();
  t.deepEqual(exits, [], 'the process waits for work in flight');
  finish();
  await settle();
  t.deepEqual(exits, [0]);
  t.is(stops, 1);
});

test('a second signal ends the process at once with 128 plus its number', async t => {
  let stops = 0;
  const {signals, exits} = start(() => {
    stops++;
    return new Promise(() => {});
  });
  signals.emit('SIGTERM');
  signals.emit('SIGINT');
  await settle();
  t.deepEqual(exits, [130]);
  t.is(stops, 1);
});

test('a repeated SIGTERM does not abort a stop that the platform bounds', async t => {
  // Requests in flight were cut off when a VM was stopped for two reasons at once.
  let finish = () => {};
  let stops = 0;
  const stop = () => {
    stops++;
    return new Promise<void>(resolve => (finish = resolve));
  };
  const {signals, exits} = start(stop, true);
  signals.emit('SIGTERM');
  signals.emit('SIGTERM');
  await settle();
  t.deepEqual(exits, []);
  finish();
  await settle();
  t.deepEqual(exits, [0]);
  t.is(stops, 1);
});

test('SIGINT aborts a stop that the platform bounds', async t => {
  const {signals, exits} = start(() => new Promise(() => {}), true);
  signals.emit('SIGTERM');
  signals.emit('SIGINT');
  await settle();
  t.deepEqual(exits, [130]);
});

test('a stop that fails exits 1', async t => {
  const {signals, exits} = start(() => Promise.reject(new Error('disk')));
  signals.emit('SIGINT');
  await settle();
  t.deepEqual(exits, [1]);
});
