import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createOperatorClient, roundDelay} from '../create-operator-client.js';
import type {OperatorClient} from '../create-operator-client.js';

/**
 * A client that soon gives up, by a time that passes in its pauses alone: its
 * attempts have no limit, so what it says does not hang on the machine's speed.
 */
export function createShortTimeoutClient(
  addresses: readonly string[],
): OperatorClient {
  const timers = createFakeTimers();
  const {after} = timers;
  timers.after = (delay, task) => {
    const subscription = after(delay, task);
    if (delay === roundDelay) setImmediate(() => timers.advance(delay));
    return subscription;
  };
  return createOperatorClient({addresses, timers, timeout: 4.5 * roundDelay});
}
