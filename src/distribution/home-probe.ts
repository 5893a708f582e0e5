/** One home that is asked how fresh it is, before anything depends on it. */
import type {FleetMessage, HomeAddress} from '../fleet/messages.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import type {Link, Network} from '../link/link.js';
import type {Subscription, Timers} from '../time/timers.js';
import {freshnessMarkOf} from './freshness-mark.js';
import type {FreshnessMark} from './freshness-mark.js';

/** A home that has answered, on a link that is not used yet. */
export interface HomeCandidate {
  readonly home: HomeAddress;
  /** The home's own name; undefined where it did not tell. */
  readonly name: string | undefined;
  readonly channels: Channels;
  readonly mark: FreshnessMark;
}

/** What `askCandidate` works with. */
export interface HomeProbeOptions {
  readonly home: HomeAddress;
  readonly network: Network;
  readonly timers: Timers;
  /** Milliseconds that an open link may stay without an answer. */
  readonly timeout: number;
  readonly onAnswer: (candidate: HomeCandidate) => void;
  readonly onFailure: (problem: string) => void;
}

/** A question under way. */
export interface HomeProbe {
  /** Ends it without an answer or a failure. */
  cancel(): void;
}

/**
 * Opens a link to a home and pings it. A VM that stands still takes connections
 * all the same, so only the answer shows that its process works.
 */
export function probeHome(options: HomeProbeOptions): HomeProbe {
  const {home, network, timers, timeout} = options;
  let isOver = false;
  let link: Link | undefined;
  let late: Subscription | undefined;

  function end(): void {
    isOver = true;
    late?.cancel();
  }

  function fail(problem: string): void {
    if (isOver) return;
    end();
    link?.close();
    options.onFailure(problem);
  }

  function ask(opened: Link): void {
    link = opened;
    const channels = createChannels(opened);
    const fleet = channels.on('fleet');
    const sentAt = timers.now();
    late = timers.after(timeout, () => fail('no answer in time'));
    channels.onClose(() => fail('the link ended'));
    fleet.onMessage(body => {
      const message = body as FleetMessage;
      if (isOver || message.kind !== 'pong') return;
      end();
      const mark = freshnessMarkOf(message, sentAt);
      options.onAnswer({home, name: message.home, channels, mark});
    });
    fleet.send({kind: 'ping', number: 0});
  }

  network.connect(home.address).then(
    opened => {
      if (isOver) opened.close();
      else ask(opened);
    },
    (error: Error) => fail(error.message),
  );

  return {
    cancel() {
      end();
      link?.close();
    },
  };
}
