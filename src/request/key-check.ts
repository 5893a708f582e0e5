/** Checks the key of a caller's request, before its body is read. */
import type {IncomingMessage} from 'node:http';
import type {Workspace} from '../configuration/configuration.js';
import {shortDigest} from '../configuration/short-digest.js';
import {createLineBudget} from '../log/line-budget.js';
import type {Log} from '../log/log.js';
import type {KeyRefusalReason} from '../metrics/metrics.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import type {Timers} from '../time/timers.js';
import {createAuthenticator} from '../workspaces/authenticator.js';
import type {Authentication, KeyState} from '../workspaces/authenticator.js';
import type {Refusal} from './messages/call.js';
import {requestCodes} from './messages/codes.js';
import {createRefusal} from './messages/refusal.js';
import type {FoundRoute} from './route-finder.js';
import {credentialsHeader, findHeaders} from './transport/headers.js';

/** Options of `createKeyCheck`. */
export interface KeyCheckOptions {
  /** The authentication scheme of callers. */
  readonly scheme: string;
  readonly keyState: () => KeyState;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  readonly onRefused: (reason: KeyRefusalReason) => void;
}

/** Whose request it is, or why it is refused. */
export type KeyCheckResult =
  | {
      readonly workspace: Workspace | undefined;
      /** Whether the header with the key must not be forwarded. */
      readonly dropsKey: boolean;
    }
  | {readonly refused: Refusal};

/** Checks the key of the request with this id. */
export type KeyCheck = (
  request: IncomingMessage,
  id: string,
  found: FoundRoute,
) => KeyCheckResult;

const codes: Readonly<Record<KeyRefusalReason, Code>> = {
  'key-required': requestCodes.keyRequired,
  'key-unknown': requestCodes.keyUnknown,
  'keys-unsure': requestCodes.keysUnsure,
};

/**
 * Seconds within which a node finds another home that a quorum confirms; the
 * callers of a node that has lost its home are spread over this time.
 */
const unsureRetryAfter = 1;

// A caller with a wrong key may send hundreds of requests per second; the
// metric counts all of them.
const linesPerSecond = 1;
const maxBurst = 10;

/** Maximum length of a logged id; callers may send longer ones. */
const maxIdLength = 64;

const withoutKeys: KeyCheckResult = {workspace: undefined, dropsKey: false};

/** Creates the check of one entry. */
export function createKeyCheck(options: KeyCheckOptions): KeyCheck {
  const {scheme, keyState, timers, random, log} = options;
  const authenticator = createAuthenticator({scheme, keyState});
  const budget = createLineBudget({
    rate: linesPerSecond,
    burst: maxBurst,
    timers,
    log,
  });

  function refuse(
    id: string,
    {reason, digest}: Extract<Authentication, {kind: 'refused'}>,
  ): Refusal {
    options.onRefused(reason);
    if (digest !== undefined && budget.take(1)) {
      log.info('key refused', {
        request: id.slice(0, maxIdLength),
        name: reason,
        digest: shortDigest(digest),
      });
    }
    const code = codes[reason];
    if (reason !== 'keys-unsure') return createRefusal(code);
    const spread = 0.5 + random.fraction();
    return createRefusal(code, undefined, unsureRetryAfter * spread);
  }

  return (request, id, {configuration, match: {route}}) => {
    if (!authenticator.isUsed(configuration)) return withoutKeys;
    const result = authenticator.authenticate(configuration, {
      route,
      authorization: findHeaders(request.rawHeaders, credentialsHeader),
    });
    if (result.kind === 'refused') return {refused: refuse(id, result)};
    return {workspace: result.workspace, dropsKey: true};
  };
}
