import {request} from 'undici';
import type {Subscription, Timers} from '../../src/time/timers.js';

const renewal = 1000;

/** What an upstream says of itself to the node beside it. */
export interface SelfDescription {
  readonly instance: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly healthPath: string;
  readonly state: 'warming' | 'serving' | 'draining';
  /** Differs after each start. */
  readonly started: number;
}

/** Keeps the node beside an upstream informed. */
export interface SelfAnnouncer {
  /** Announces at once; also done each second. */
  renew(): Promise<void>;
  /** Takes the announcement back and stops renewing. */
  withdraw(): Promise<void>;
}

/** Starts to announce; a node that does not answer is tried again. */
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
        headersTimeout: renewal,
      });
      await answer.body.dump();
    } catch {
      // The node is not up yet or gone; the next renewal tells it.
    }
  }

  const renew = () => send('POST', describe());
  const ticking: Subscription = timers.every(renewal, () => void renew());
  void renew();
  return {
    renew,
    async withdraw() {
      ticking.cancel();
      await send('DELETE', {instance: describe().instance});
    },
  };
}
