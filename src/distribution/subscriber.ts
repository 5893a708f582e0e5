import {createMachine, interpret, state, transition} from 'robot3';
import type {Configuration} from '../configuration/configuration.js';
import type {Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import {failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {backoffDelay} from './backoff.js';
import {
  buildCandidateState,
  digestHeld,
  selectCovered,
} from './candidate-state.js';
import type {CandidateStateSafeguards, HeldState} from './candidate-state.js';
import {distributionCodes} from './codes.js';
import type {HomeConnection} from './home-connection.js';
import type {FreshnessMark} from './freshness-mark.js';
import {distributionLimits} from './limits.js';
import type {
  Interest,
  Postponement,
  Push,
  Request,
  Response,
} from './messages.js';
import {createProofRequests, makeNonce} from './proof-requests.js';
import {withWorkspaces} from './section-name.js';
import type {SectionSource} from './section-source.js';

/** Options of createSubscriber. */
export interface SubscriberOptions {
  readonly home: HomeConnection;
  /**
   * The services whose sections are received, in addition to those of
   * workspaces; default all.
   */
  readonly services?: Interest;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Test only: protections against failures, all on by default. */
  readonly safeguards?: Partial<SubscriberSafeguards>;
}

/** Test only: protections of a subscriber against failures. */
export interface SubscriberSafeguards extends CandidateStateSafeguards {
  /** The version never decreases within an incarnation. */
  readonly monotonic: boolean;
  /** The first state of an incarnation is proved by a quorum. */
  readonly proof: boolean;
}

/** Counters of a subscriber. */
export interface SubscriberCounts {
  readonly switches: number;
  readonly refusals: number;
  /** Pushes ignored because their version was not newer. */
  readonly ignored: number;
}

/**
 * State of a subscriber: without a link, waiting for its first answer on a
 * link, receiving each change, or waiting for differing sections.
 */
export type SubscriberState = 'detached' | 'syncing' | 'inStep' | 'repairing';

/** Keeps the configuration of one process up to date. */
export interface Subscriber {
  /** The configuration in force; undefined until it is proved fresh. */
  current(): Configuration | undefined;
  /** Calls `observe` after each change of the configuration in force. */
  onSwitch(observe: (configuration: Configuration) => void): void;
  /** Replaces the services whose sections are received. */
  subscribe(services: Interest): void;
  /** Confirms through the home that the state is as new as any accepted one. */
  barrier(): Promise<Result<number>>;
  /** The state as the source of a distributor, used by relays. */
  readonly sections: SectionSource;
  state(): SubscriberState;
  counts(): SubscriberCounts;
  stop(): void;
}

const stateDefinition = createMachine({
  detached: state(transition('ask', 'syncing')),
  syncing: state(
    transition('ask', 'syncing'),
    transition('settle', 'inStep'),
    transition('compare', 'repairing'),
    transition('detach', 'detached'),
  ),
  inStep: state(
    transition('ask', 'syncing'),
    transition('settle', 'inStep'),
    transition('compare', 'repairing'),
    transition('detach', 'detached'),
  ),
  repairing: state(
    transition('ask', 'syncing'),
    transition('settle', 'inStep'),
    transition('compare', 'repairing'),
    transition('detach', 'detached'),
  ),
});

/** Creates the receiving side of distribution. */
export function createSubscriber(options: SubscriberOptions): Subscriber {
  const {home, timers, random, log} = options;
  const limits = distributionLimits;
  const safeguards: SubscriberSafeguards = {
    monotonic: true,
    proof: true,
    digest: true,
    references: true,
    ...options.safeguards,
  };
  const stateMachine = interpret(stateDefinition, () => {});
  const proofs = createProofRequests(timers, limits.proofTimeout);
  const observers: Array<(configuration: Configuration) => void> = [];
  const sourceObservers: Array<() => void> = [];
  const count = {switches: 0, refusals: 0, ignored: 0};
  let services = withWorkspaces(options.services ?? 'all');
  let subscription = 1;
  let channels: Channels | undefined;
  let held: HeldState | undefined;
  /**
   * Nonce of the first proof of this incarnation; undefined after its answer.
   */
  let nonce = safeguards.proof ? makeNonce() : undefined;
  /** The lowest version that this incarnation may serve. */
  let provedVersion = safeguards.proof ? Infinity : 0;
  let retryTimer: Subscription | undefined;
  let attempts = 0;

  const current = () => stateMachine.machine.current as SubscriberState;

  function send(request: Request): void {
    channels?.on('configuration').send(request);
  }

  function attach(opened: Channels): void {
    channels = opened;
    opened.on('configuration').onMessage(body => {
      if (opened === channels) receive(body as Response);
    });
    opened.onClose(() => {
      if (opened === channels) detach();
    });
    attempts = 0;
    requestState();
  }

  function detach(): void {
    channels = undefined;
    stateMachine.send('detach');
    retryTimer?.cancel();
    proofs.failAll('the link to the home was closed');
  }

  /** Requests the state and all later ones. */
  function requestState(): void {
    stateMachine.send('ask');
    retryTimer?.cancel();
    const isComplete = held !== undefined && held.subscription === subscription;
    send({
      kind: 'subscribe',
      subscription,
      services,
      complete: isComplete,
      ...(held !== undefined && {
        version: held.version,
        digest: digestHeld(selectCovered(held, services)),
      }),
      ...(nonce !== undefined && {nonce}),
    });
  }

  /** Sends the digests of the held sections, to receive those that differ. */
  function compare(): void {
    stateMachine.send('compare');
    const covered = selectCovered(held, services);
    const digests = [...covered].map(([name, {digest}]) => ({name, digest}));
    send({
      kind: 'compare',
      subscription,
      version: held?.version ?? 0,
      digests,
    });
    scheduleRetry();
  }

  /**
   * Repeats the request, so that a lost answer does not leave the old version
   * in force forever.
   */
  function scheduleRetry(): void {
    retryTimer?.cancel();
    const jitter = backoffDelay(attempts, limits.reconnectDelay, random);
    attempts++;
    retryTimer = timers.after(limits.compareTimeout + jitter, requestState);
  }

  function receive(response: Response): void {
    switch (response.kind) {
      case 'push':
        receivePush(response);
        break;
      case 'differ':
        if (response.subscription === subscription) compare();
        break;
      case 'later':
        receivePostponement(response);
        break;
      case 'proof':
        receiveProof(response.nonce, response.version);
        break;
      case 'unproved':
        receiveProof(response.nonce, undefined);
        break;
    }
  }

  function receivePush(push: Push): void {
    if (push.subscription !== subscription) return;
    if (safeguards.monotonic && !isNewer(push)) {
      count.ignored++;
      if (push.version === held?.version) markInStep();
      return;
    }
    const candidate = buildCandidateState(held, push, services, safeguards);
    if (!candidate.ok) {
      refusePush(candidate.code, candidate.message);
      return;
    }
    held = candidate.value;
    markInStep();
    if (held.version >= provedVersion) reportSwitch(held.configuration);
    for (const observe of sourceObservers) observe();
  }

  /**
   * Duplicated, reordered or delayed pushes, and pushes of an outdated home,
   * must not replace a newer state. Only a newer version, or the same version
   * of a newer subscription, replaces what is in force.
   */
  function isNewer(push: Push): boolean {
    if (held === undefined || push.version > held.version) return true;
    const isSame = push.version === held.version;
    return isSame && push.subscription > held.subscription;
  }

  function markInStep(): void {
    stateMachine.send('settle');
    attempts = 0;
    retryTimer?.cancel();
  }

  function reportSwitch(configuration: Configuration): void {
    count.switches++;
    home.acknowledge(configuration.version);
    for (const observe of observers) observe(configuration);
  }

  function refusePush(code: Code, problem: string): void {
    count.refusals++;
    log.warn('pushed state refused', {code: code.number, problem});
    if (current() !== 'repairing') compare();
  }

  function receivePostponement(postponement: Postponement): void {
    if (postponement.subscription !== subscription) return;
    retryTimer?.cancel();
    retryTimer = timers.after(postponement.after, requestState);
  }

  function receiveProof(
    answeredNonce: string,
    version: number | undefined,
  ): void {
    if (answeredNonce !== nonce) {
      proofs.answer(answeredNonce, version);
      return;
    }
    if (version === undefined) {
      home.leave('no quorum confirmed its state');
      return;
    }
    nonce = undefined;
    provedVersion = version;
    if (held !== undefined && held.version >= version) {
      reportSwitch(held.configuration);
    }
  }

  /**
   * If the home has sent a newer version than the one held, its push was lost.
   */
  function receiveMark(mark: FreshnessMark): void {
    if (current() !== 'inStep' || mark.version === undefined) return;
    if (held === undefined || mark.version > held.version) compare();
  }

  async function barrier(): Promise<Result<number>> {
    if (channels === undefined) {
      return failure(distributionCodes.noProof, 'there is no link to a home');
    }
    const result = await proofs.request(proofNonce =>
      send({kind: 'prove', nonce: proofNonce}),
    );
    if (!result.ok || (held?.version ?? -1) >= result.value) return result;
    return failure(
      distributionCodes.noProof,
      'the proved state has not arrived',
    );
  }

  home.onChannels(attach);
  home.onMark(receiveMark);

  return {
    current() {
      if (held === undefined || held.version < provedVersion) return undefined;
      return held.configuration;
    },
    onSwitch: observe => void observers.push(observe),
    subscribe(next) {
      services = withWorkspaces(next);
      subscription++;
      if (channels !== undefined) requestState();
    },
    barrier,
    sections: {
      current: () => held,
      onChange: observe => void sourceObservers.push(observe),
    },
    state: current,
    counts: () => ({...count}),
    stop: () => retryTimer?.cancel(),
  };
}
