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
import {buildCandidateState, digestHeld, selectCovered} from './candidate-state.js';
import type {CandidateStateSafeguards, HeldState} from './candidate-state.js';
import {distributionCodes} from './codes.js';
import type {HomeConnection} from './home-connection.js';
import type {FreshnessMark} from './freshness-mark.js';
import {distributionLimits} from './limits.js';
import type {Interest, Postponement, Push, Request, Response} from './messages.js';
import {createProofRequests, makeNonce} from './proof-requests.js';
import type {SectionSource} from './section-source.js';

/** Settings of a subscriber. */
export interface SubscriberOptions {
  readonly home: HomeConnection;
  /** The services whose sections are wanted; default all. */
  readonly services?: Interest;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Test only: parts that keep a failure away, all on by default. */
  readonly safeguards?: Partial<SubscriberSafeguards>;
}

/** Test only: the parts of a subscriber that keep a failure away. */
export interface SubscriberSafeguards extends CandidateStateSafeguards {
  /** Versions only rise within a life. */
  readonly monotonic: boolean;
  /** The first state of a life is proved by a quorum. */
  readonly proof: boolean;
}

/** Counters of a subscriber. */
export interface SubscriberCounts {
  readonly switches: number;
  readonly refusals: number;
  /** Pushes ignored since their version was not newer. */
  readonly ignored: number;
}

/**
 * Where a subscriber is: without a link, waiting for its first answer on a
 * link, receiving each change, or waiting for sections that differ.
 */
export type SubscriberState = 'detached' | 'syncing' | 'inStep' | 'repairing';

/** Keeps the configuration of one process current. */
export interface Subscriber {
  /** The configuration in force; undefined until it is proved fresh. */
  current(): Configuration | undefined;
  /** Calls `observe` after each switch. */
  onSwitch(observe: (configuration: Configuration) => void): void;
  /** Changes the services whose sections are wanted. */
  subscribe(services: Interest): void;
  /** Confirms through the home that the state is as new as any accepted. */
  barrier(): Promise<Result<number>>;
  /** The state as a source for a distributor; a relay's use. */
  readonly sections: SectionSource;
  state(): SubscriberState;
  counts(): SubscriberCounts;
  stop(): void;
}

const machine = createMachine({
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

/** Creates the node side of distribution. */
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
  const service = interpret(machine, () => {});
  const proofs = createProofRequests(timers, limits.proofTimeout);
  const observers: Array<(configuration: Configuration) => void> = [];
  const sourceObservers: Array<() => void> = [];
  const count = {switches: 0, refusals: 0, ignored: 0};
  let services: Interest = options.services ?? 'all';
  let subscription = 1;
  let channels: Channels | undefined;
  let held: HeldState | undefined;
  /** Nonce of this life's first proof; undefined once it was answered. */
  let nonce = safeguards.proof ? makeNonce() : undefined;
  /** The least version that this life may serve. */
  let provedVersion = safeguards.proof ? Infinity : 0;
  let retry: Subscription | undefined;
  let attempt = 0;

  const current = () => service.machine.current as SubscriberState;

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
    attempt = 0;
    ask();
  }

  function detach(): void {
    channels = undefined;
    service.send('detach');
    retry?.cancel();
    proofs.failAll('the link to the home ended');
  }

  /** Asks for the state and each later one. */
  function ask(): void {
    service.send('ask');
    retry?.cancel();
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

  /** Tells what is held, to get the sections that differ. */
  function compare(): void {
    service.send('compare');
    const covered = selectCovered(held, services);
    const digests = [...covered].map(([name, {digest}]) => ({name, digest}));
    send({
      kind: 'compare',
      subscription,
      version: held?.version ?? 0,
      digests,
    });
    retryLater();
  }

  /** An answer that was lost must not leave the old version for good. */
  function retryLater(): void {
    retry?.cancel();
    const jitter = backoffDelay(attempt, limits.reconnect, random);
    attempt++;
    retry = timers.after(limits.compareTimeout + jitter, ask);
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
        receiveLater(response);
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
      if (push.version === held?.version) settle();
      return;
    }
    const candidate = buildCandidateState(held, push, services, safeguards);
    if (!candidate.ok) {
      refuse(candidate.code, candidate.message);
      return;
    }
    held = candidate.value;
    settle();
    if (held.version >= provedVersion) announce(held.configuration);
    for (const observe of sourceObservers) observe();
  }

  /**
   * Doubled, crossed or delayed pushes, and those of a home that is behind,
   * would take the node back; only a newer version or the same one of a newer
   * subscription may replace what is in force.
   */
  function isNewer(push: Push): boolean {
    if (held === undefined || push.version > held.version) return true;
    const isSame = push.version === held.version;
    return isSame && push.subscription > held.subscription;
  }

  function settle(): void {
    service.send('settle');
    attempt = 0;
    retry?.cancel();
  }

  function announce(configuration: Configuration): void {
    count.switches++;
    home.acknowledge(configuration.version);
    for (const observe of observers) observe(configuration);
  }

  function refuse(code: Code, problem: string): void {
    count.refusals++;
    log.warn('pushed state refused', {code: code.number, problem});
    if (current() !== 'repairing') compare();
  }

  function receiveLater(later: Postponement): void {
    if (later.subscription !== subscription) return;
    retry?.cancel();
    retry = timers.after(later.after, ask);
  }

  function receiveProof(answered: string, version: number | undefined): void {
    if (answered !== nonce) {
      proofs.answer(answered, version);
      return;
    }
    if (version === undefined) {
      home.leave('no quorum answers it');
      return;
    }
    nonce = undefined;
    provedVersion = version;
    if (held !== undefined && held.version >= version) {
      announce(held.configuration);
    }
  }

  /** A home that has sent a newer version than is held: its push was lost. */
  function receiveMark(mark: FreshnessMark): void {
    if (current() !== 'inStep' || mark.version === undefined) return;
    if (held === undefined || mark.version > held.version) compare();
  }

  async function barrier(): Promise<Result<number>> {
    if (channels === undefined) {
      return failure(distributionCodes.noProof, 'there is no link to a home');
    }
    const result = await proofs.request(asked =>
      send({kind: 'prove', nonce: asked}),
    );
    if (!result.ok || (held?.version ?? -1) >= result.value) return result;
    return failure(distributionCodes.noProof, 'the proved state has not come');
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
      services = next;
      subscription++;
      if (channels !== undefined) ask();
    },
    barrier,
    sections: {
      current: () => held,
      onChange: observe => void sourceObservers.push(observe),
    },
    state: current,
    counts: () => ({...count}),
    stop: () => retry?.cancel(),
  };
}
