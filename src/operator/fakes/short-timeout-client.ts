import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createOperatorClient, roundDelay} from '../create-operator-client.js';
import type {OperatorClient} from '../create-operator-client.js';

/**
 * Creates a client with a short timeout. Its clock advances only in the delays
 * between rounds, and its attempts never time out, so its results do not depend
 * on the speed of the machine.
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
