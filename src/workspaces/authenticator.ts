/**
 * Decides which workspace a request belongs to, by the key that its caller
 * sent.
 */
import type {
  Configuration,
  Route,
  Workspace,
} from '../configuration/configuration.js';
import type {KeyRefusalReason} from '../metrics/metrics.js';
import {createKeyIndex} from './key-index.js';
import {digestOfKey} from './key-digest.js';
import {readKey} from './key-header.js';

/** What a request says about its caller. */
export interface Credentials {
  /** The route that it takes. */
  readonly route: Route;
  /** The values of all its `authorization` headers. */
  readonly authorization: readonly string[];
}

/** The result of an authentication. */
export type Authentication =
  | {
      readonly kind: 'accepted';
      /** The workspace of the caller; undefined on an open route without key. */
      readonly workspace: Workspace | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly reason: KeyRefusalReason;
      /** The digest of the key; undefined if none could be read. */
      readonly digest?: string;
    };

/**
 * How far the keys in force are known to be the newest.
 * - `confirmed`: a quorum confirmed them recently.
 * - `unconfirmed`: a newer key may exist that is not known here.
 * - `expired`: a key in force here may have been removed too long ago.
 */
export type KeyState = 'confirmed' | 'unconfirmed' | 'expired';

/** Options of `createAuthenticator`. */
export interface AuthenticatorOptions {
  /** The authentication scheme of callers, such as `Bearer`. */
  readonly scheme: string;
  readonly keyState: () => KeyState;
}

/** Authenticates requests with the configuration in force. */
export interface Authenticator {
  /** Whether the configuration has keyed routes or workspaces. */
  isUsed(configuration: Configuration): boolean;
  authenticate(
    configuration: Configuration,
    credentials: Credentials,
  ): Authentication;
}

const anonymous: Authentication = {kind: 'accepted', workspace: undefined};

/** Creates an authenticator. */
export function createAuthenticator(
  options: AuthenticatorOptions,
): Authenticator {
  const {scheme, keyState} = options;
  const keys = createKeyIndex();
  const isUsed = cacheLast(hasKeys);

  /**
   * While the keys may be outdated, a valid key on an open route does not
   * identify a workspace: it may have been removed.
   */
  function authenticateOpen(authorization: readonly string[]): Authentication {
    const key = readKey(authorization, scheme);
    if (key === undefined || keyState() === 'expired') return anonymous;
    return {kind: 'accepted', workspace: keys.find(digestOfKey(key))};
  }

  /**
   * A key that is unknown here may have been added while this node was cut off.
   * A caller that is told so would not retry, so this is said only while a
   * quorum confirms the configuration.
   */
  function authenticateKeyed(authorization: readonly string[]): Authentication {
    const key = readKey(authorization, scheme);
    if (key === undefined) return {kind: 'refused', reason: 'key-required'};
    const digest = digestOfKey(key);
    const state = keyState();
    if (state === 'expired') {
      return {kind: 'refused', reason: 'keys-unsure', digest};
    }
    const workspace = keys.find(digest);
    if (workspace !== undefined) return {kind: 'accepted', workspace};
    const reason = state === 'confirmed' ? 'key-unknown' : 'keys-unsure';
    return {kind: 'refused', reason, digest};
  }

  return {
    isUsed,
    authenticate: (configuration, {route, authorization}) => {
      keys.update(configuration.workspaces);
      return route.access === 'keyed'
        ? authenticateKeyed(authorization)
        : authenticateOpen(authorization);
    },
  };
}

function hasKeys({routes, workspaces}: Configuration): boolean {
  if (workspaces.size > 0) return true;
  for (const {access} of routes.values()) if (access === 'keyed') return true;
  return false;
}

/** Keeps the result for the last configuration. */
function cacheLast(
  compute: (configuration: Configuration) => boolean,
): (configuration: Configuration) => boolean {
  let last: Configuration | undefined;
  let result = false;
  return configuration => {
    if (configuration !== last) {
      result = compute(configuration);
      last = configuration;
    }
    return result;
  };
}
