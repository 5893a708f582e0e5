import type {Channel, Channels} from '../link/channel.js';
import type {Ticket} from './admission.js';
import type {Compare, Interest, Response} from './messages.js';
import type {SubscriberPosition} from './sync-plan.js';

/** State that a distributor keeps for one subscriber. */
export interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  /** Undefined until the subscriber sends a request. */
  subscription: number | undefined;
  services: Interest;
  /** The key of `services`; see `interestKey`. */
  key: string;
  position: SubscriberPosition;
  /** The digests that the subscriber sent; undefined if none. */
  comparison: Compare | undefined;
  /**
   * The version last sent; undefined while the subscriber is not synchronized.
   */
  sent: number | undefined;
  /** Nonces that a quorum has confirmed, waiting until the state is sent. */
  provedNonces: string[];
  /** Handle of the sync request that waits for admission. */
  ticket: Ticket | undefined;
}

const unknownPosition: SubscriberPosition = {
  services: [],
  version: undefined,
  digest: undefined,
  complete: false,
};

/** Creates the session of a subscriber that has not sent a request. */
export function createSession(channels: Channels): Session {
  return {
    channels,
    channel: channels.on('configuration'),
    subscription: undefined,
    services: [],
    key: '',
    position: unknownPosition,
    comparison: undefined,
    sent: undefined,
    provedNonces: [],
    ticket: undefined,
  };
}

/** Sends a message to a subscriber. */
export function respond(session: Session, response: Response): void {
  session.channel.send(response);
}

/** Answers the confirmed nonces, after `version` has been sent. */
export function answerProofs(session: Session, version: number): void {
  for (const nonce of session.provedNonces.splice(0)) {
    respond(session, {kind: 'proof', nonce, version});
  }
}
