/**
 * Probes one home: asks how fresh its state is, before anything depends on it.
 */
import type {FleetMessage, HomeAddress} from '../fleet/messages.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import type {Link, Network} from '../link/link.js';
import {currentMoment} from '../time/moment.js';
import type {Subscription, Timers} from '../time/timers.js';
import {freshnessMarkOf} from './freshness-mark.js';
import type {FreshnessMark} from './freshness-mark.js';

/**
 * A home that has answered, with a link that is not used for anything else yet.
 */
export interface HomeCandidate {
  readonly home: HomeAddress;
  /** Name of the home; undefined if its answer has none. */
  readonly name: string | undefined;
  readonly channels: Channels;
  readonly mark: FreshnessMark;
}

/** Options of probeHome. */
export interface HomeProbeOptions {
  readonly home: HomeAddress;
  readonly network: Network;
  readonly timers: Timers;
  /** How long an open link may remain without an answer, in milliseconds. */
  readonly timeout: number;
  readonly onAnswer: (candidate: HomeCandidate) => void;
  readonly onFailure: (problem: string) => void;
}

/** A probe in progress. */
export interface HomeProbe {
  /** Ends the probe; no callback is called. */
  cancel(): void;
}

/**
 * Opens a link to a home and pings it. A VM whose processes are suspended still
 * accepts connections, so only the answer shows that the home works.
 */
export function probeHome(options: HomeProbeOptions): HomeProbe {
  const {home, network, timers, timeout} = options;
  let isFinished = false;
  let link: Link | undefined;
  let timeoutTimer: Subscription | undefined;

  function end(): void {
    isFinished = true;
    timeoutTimer?.cancel();
  }

  function fail(problem: string): void {
    if (isFinished) return;
    end();
    link?.close();
    options.onFailure(problem);
  }

  function ping(openedLink: Link): void {
    link = openedLink;
    const channels = createChannels(openedLink);
    const fleetChannel = channels.on('fleet');
    const sentAt = currentMoment(timers);
    timeoutTimer = timers.after(timeout, () => fail('no answer in time'));
    channels.onClose(() => fail('the link was closed'));
    fleetChannel.onMessage(body => {
      const message = body as FleetMessage;
      if (isFinished || message.kind !== 'pong') return;
      end();
      const mark = freshnessMarkOf(message, sentAt);
      options.onAnswer({home, name: message.home, channels, mark});
    });
    fleetChannel.send({kind: 'ping', number: 0});
  }

  network.connect(home.address).then(
    openedLink => {
      if (isFinished) openedLink.close();
      else ping(openedLink);
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
