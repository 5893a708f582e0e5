import type {Call} from '../messages/call.js';

/**
 * A lookup whose deadline is at 5000 ms of fake timers; `changes` override the
 * defaults.
 */
export function callOf(changes: Partial<Call> = {}): Call {
  return {
    id: 'entry-1',
    service: 'stock-desk',
    method: 'GET',
    path: '/stock/7',
    headers: ['host', 'stock'],
    body: {kind: 'none'},
    priority: 'normal',
    repeatability: 'idempotent',
    key: undefined,
    deadline: 5_000,
    ...changes,
  };
}

/** A booking, which must not run twice; `changes` override the defaults. */
export function bookingOf(changes: Partial<Call> = {}): Call {
  return callOf({
    method: 'POST',
    path: '/bookings',
    headers: ['host', 'stock', 'content-length', '4'],
    body: {kind: 'whole', bytes: Buffer.from('book')},
    repeatability: 'once',
    ...changes,
  });
}
