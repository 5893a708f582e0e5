/**
 * The attempts of one request at its entry. An answer that has begun is final;
 * a refusal is final too unless the request may be sent to another instance.
 */
import type {Configuration} from '../configuration/configuration.js';
import type {Code} from '../result/code.js';
import type {Timers} from '../time/timers.js';
import type {Answer} from './answer.js';
import {createAttemptAnswer} from './attempt-answer.js';
import type {AttemptAnswer} from './attempt-answer.js';
import {requestCodes} from './codes.js';
import type {Gate} from './gate.js';
import type {GateLinks} from './gate-link.js';
import type {Call, Cancel, Refusal} from './messages.js';
import type {Peer, Peers} from './peers.js';
import {refusal} from './refusal.js';
import {shouldRetry} from './retry.js';
import type {Match} from './router.js';

/** Options of `createAttempts`. */
export interface AttemptsOptions {
  readonly call: Call;
  readonly match: Match;
  readonly configuration: Configuration;
  /** Where the answer goes. */
  readonly answer: Answer;
  readonly peers: Peers;
  readonly links: GateLinks;
  /** The own node's gate; work for its upstream needs no hop between. */
  readonly gate: Gate | undefined;
  readonly timers: Timers;
  /** Test only: false to send work again that may have begun. */
  readonly once: boolean;
}

/** Share of the policy's deadline below which a caller counts as hurried. */
const hurriedShare = 0.5;

/** The attempts of one request. */
export interface Attempts {
  readonly count: number;
  start(): void;
  /** The caller has left. */
  cancel(): void;
}

/** Creates the attempts of one request; `start` makes the first. */
export function createAttempts(options: AttemptsOptions): Attempts {
  const {call, match, answer, peers, timers} = options;
  const {service} = match.route;
  const budget = peers.budget(service);
  const tried = new Set<string>();
  // A caller that gives less time than the policy can't show a fault by it.
  const isHurried =
    call.deadline - timers.now() < match.policy.deadline * hurriedShare;
  let count = 0;
  let cancelled = false;
  let current: AttemptAnswer | undefined;
  let cancelAttempt: Cancel = () => {};
  let last: Refusal | undefined;

  function attempt(): void {
    const peer = peers.choose(service, options.configuration, tried);
    if (peer === undefined) {
      return answer.refuse(last ?? refusal(requestCodes.noUpstream));
    }
    count++;
    tried.add(peer.announcement.instance);
    peer.began();
    const own = createAttemptAnswer(answer, peer, ended, isHurried);
    current = own;
    const cancel = sendTo(peer, own);
    // A gate may refuse before it returns, and the next attempt be under way.
    if (current === own) cancelAttempt = cancel;
  }

  function sendTo(peer: Peer, own: AttemptAnswer): Cancel {
    const {gate, links} = options;
    if (gate?.instance === peer.announcement.instance) {
      return gate.handle(call, own);
    }
    return links.handle(call, match.policy.bodyLimit, peer, own);
  }

  function ended(reason: Refusal): void {
    if (cancelled) return;
    last = reason;
    if (isRetried(reason.code)) attempt();
    else answer.refuse(reason);
  }

  function isRetried(code: Code): boolean {
    const {body} = call;
    return shouldRetry({
      code,
      policy: match.policy,
      attempts: count,
      left: call.deadline - timers.now(),
      replayable: body.kind !== 'stream' || !body.consumed(),
      budget,
      once: options.once,
    });
  }

  return {
    get count() {
      return count;
    },
    start: () => {
      budget.earn();
      attempt();
    },
    cancel: () => {
      cancelled = true;
      cancelAttempt();
      current?.abandon();
    },
  };
}
