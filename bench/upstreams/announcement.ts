import {request} from 'undici';
import type {Subscription, Timers} from '../../src/time/timers.js';

/** Milliseconds between renewals, and the timeout of each request. */
const renewalInterval = 1000;

/** The announcement that an upstream sends to the node beside it. */
export interface SelfDescription {
  readonly instance: string;
  readonly service: string;
  readonly version?: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly healthPath: string;
  readonly state: 'warming' | 'serving' | 'draining';
  /** Wall-clock time of the process start; differs after each restart. */
  readonly started: number;
}

/** Announces an upstream to the node beside it. */
export interface SelfAnnouncer {
  /** Announces immediately; this also happens every second. */
  renew(): Promise<void>;
  /** Withdraws the announcement and stops the renewals. */
  withdraw(): Promise<void>;
}

/** Starts to announce; a failed request is repeated with the next renewal. */
export function createSelfAnnouncer(
  node: string,
  describe: () => SelfDescription,
  timers: Timers,
): SelfAnnouncer {
  async function send(method: 'POST' | 'DELETE', body: object): Promise<void> {
    try {
      const answer = await request(`http://${node}/upstream`, {
        method,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        headersTimeout: renewalInterval,
      });
      await answer.body.dump();
    } catch {
      // The node is not running; the next renewal announces again.
    }
  }

  const renew = () => send('POST', describe());
  const renewals: Subscription = timers.every(
    renewalInterval,
    () => void renew(),
  );
  void renew();
  return {
    renew,
    async withdraw() {
      renewals.cancel();
      await send('DELETE', {instance: describe().instance});
    },
  };
}
