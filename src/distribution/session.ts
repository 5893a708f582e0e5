import type {Channel, Channels} from '../link/channel.js';
import type {Ticket} from './admission.js';
import type {Compare, Interest, Response} from './messages.js';
import type {SubscriberPosition} from './sync-plan.js';

/** A distributor's record of one subscriber. */
export interface Session {
  readonly channels: Channels;
  readonly channel: Channel;
  /** Undefined until the subscriber has asked. */
  subscription: number | undefined;
  services: Interest;
  /** One text for each set of services; see `interestKey`. */
  key: string;
  position: SubscriberPosition;
  /** What the subscriber told section by section; undefined if it did not. */
  comparison: Compare | undefined;
  /** The version last sent; undefined while a sync is awaited. */
  sent: number | undefined;
  /** Nonces that a quorum confirmed and that wait for the state. */
  provedNonces: string[];
  ticket: Ticket | undefined;
}

const nothing: SubscriberPosition = {
  services: [],
  version: undefined,
  digest: undefined,
  complete: false,
};

/** Creates the record of a subscriber that has not asked yet. */
export function createSession(channels: Channels): Session {
  return {
    channels,
    channel: channels.on('configuration'),
    subscription: undefined,
    services: [],
    key: '',
    position: nothing,
    comparison: undefined,
    sent: undefined,
    provedNonces: [],
    ticket: undefined,
  };
}

/** Sends one message to a subscriber. */
export function respond(session: Session, response: Response): void {
  session.channel.send(response);
}

/** Answers the nonces that were confirmed; `version` has been sent. */
export function answerProofs(session: Session, version: number): void {
  for (const nonce of session.provedNonces.splice(0)) {
    respond(session, {kind: 'proof', nonce, version});
  }
}
