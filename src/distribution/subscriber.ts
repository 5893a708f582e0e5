import {randomBytes} from 'node:crypto';
import type {Configuration} from '../configuration/configuration.js';
import type {Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {backoffDelay} from './backoff.js';
import {buildCandidate, digestHeld, keepCovered} from './candidate.js';
import type {CandidateSafeguards, HeldState} from './candidate.js';
import {distributionCodes} from './codes.js';
import type {Home, Mark} from './home.js';
import {distributionLimits} from './limits.js';
import type {Interest, Later, Proof, Push, Response} from './messages.js';
import type {SectionSource} from './section-source.js';

/** Settings of a subscriber. */
export interface SubscriberOptions {
  readonly home: Home;
  /** The services whose sections are wanted; default all. */
  readonly services?: Interest;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Test only: parts that keep a failure away, all on by default. */
  readonly safeguards?: Partial<SubscriberSafeguards>;
}

/** Test only: the parts of a subscriber that keep a failure away. */
export interface SubscriberSafeguards extends CandidateSafeguards {
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

/** Keeps the configuration of one process current. */
export interface Subscriber {
  /** The configuration in force; undefined until it is proved fresh. */
  current(): Configuration | undefined;
  /** The code to refuse with while `current` is undefined. */
  refusal(): Code;
  /** Calls `observe` after each switch. */
  onSwitch(observe: (configuration: Configuration) => void): void;
  /** Changes the services whose sections are wanted. */
  subscribe(services: Interest): void;
  /** Confirms through the home that the state is as new as any accepted. */
  barrier(): Promise<Result<number>>;
  /** The state as a source for a distributor; a relay's use. */
  readonly sections: SectionSource;
  counts(): SubscriberCounts;
  stop(): void;
}

const nonceBytes = 12;

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
  const observers: Array<(configuration: Configuration) => void> = [];
  const sourceObservers: Array<() => void> = [];
  const proofs = new Map<string, (result: Result<number>) => void>();
  const count = {switches: 0, refusals: 0, ignored: 0};
  let services: Interest = options.services ?? 'all';
  let subscription = 1;
  let channels: Channels | undefined;
  let held: HeldState | undefined;
  /** Nonce of this life's first proof; undefined once it was answered. */
  let nonce: string | undefined = safeguards.proof ? makeNonce() : undefined;
  let retry: Subscription | undefined;
  let attempt = 0;
  let phase: 'detached' | 'syncing' | 'inStep' | 'repairing' = 'detached';
  let provedVersion = safeguards.proof ? Infinity : 0;

  function send(message: unknown): void {
    channels?.on('configuration').send(message);
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
    phase = 'detached';
    retry?.cancel();
    failProofs('the link to the home ended');
  }

  /** Asks for the state and each later one. */
  function ask(): void {
    phase = 'syncing';
    retry?.cancel();
    const isComplete = held !== undefined && held.subscription === subscription;
    send({
      kind: 'subscribe',
      subscription,
      services,
      complete: isComplete,
      ...(held !== undefined && {
        version: held.version,
        digest: digestHeld(keepCovered(held, services)),
      }),
      ...(nonce !== undefined && {nonce}),
    });
  }

  /** Tells what is held, to get the sections that differ. */
  function compare(): void {
    phase = 'repairing';
    const digests: Record<string, string> = {};
    for (const [name, section] of keepCovered(held, services)) {
      digests[name] = section.digest;
    }
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
        receiveProof(response);
        break;
      case 'unproved':
        receiveUnproved(response.nonce);
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
    const candidate = buildCandidate(held, push, services, safeguards);
    if (!candidate.ok) {
      refuse(candidate.code, candidate.message);
      return;
    }
    held = candidate.value;
    settle();
    if (held.version >= provedVersion) announce();
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
    phase = 'inStep';
    attempt = 0;
    retry?.cancel();
  }

  function announce(): void {
    count.switches++;
    const {configuration} = held!;
    home.acknowledge(configuration.version);
    for (const observe of observers) observe(configuration);
  }

  function refuse(code: Code, problem: string): void {
    count.refusals++;
    log.warn('pushed state refused', {code: code.number, problem});
    if (phase !== 'repairing') compare();
  }

  function receiveLater(later: Later): void {
    if (later.subscription !== subscription) return;
    retry?.cancel();
    retry = timers.after(later.after, ask);
  }

  function receiveProof(proof: Proof): void {
    if (proof.nonce === nonce) {
      nonce = undefined;
      provedVersion = proof.version;
      if (held !== undefined && held.version >= provedVersion) announce();
      return;
    }
    const done = proofs.get(proof.nonce);
    if (done === undefined) return;
    proofs.delete(proof.nonce);
    done(proveHeld(proof.version));
  }

  function proveHeld(version: number): Result<number> {
    if (held !== undefined && held.version >= version) return success(version);
    return failure(distributionCodes.noProof, 'the proved state has not come');
  }

  function receiveUnproved(answered: string): void {
    if (answered === nonce) {
      home.leave('no quorum answers it');
      return;
    }
    const done = proofs.get(answered);
    proofs.delete(answered);
    done?.(failure(distributionCodes.noProof, 'no quorum answered the home'));
  }

  function failProofs(problem: string): void {
    for (const done of proofs.values()) {
      done(failure(distributionCodes.noProof, problem));
    }
    proofs.clear();
  }

  /** A home that has sent a newer version than is held: its push was lost. */
  function receiveMark(mark: Mark): void {
    if (phase !== 'inStep' || mark.version === undefined) return;
    if (held === undefined || mark.version > held.version) compare();
  }

  home.onChannels(attach);
  home.onMark(receiveMark);

  return {
    current() {
      if (held === undefined || held.version < provedVersion) return undefined;
      return held.configuration;
    },
    refusal: () => distributionCodes.notProved,
    onSwitch: observe => void observers.push(observe),
    subscribe(next) {
      services = next;
      subscription++;
      if (channels !== undefined) ask();
    },
    barrier() {
      if (channels === undefined) {
        return Promise.resolve(
          failure(distributionCodes.noProof, 'there is no link to a home'),
        );
      }
      return new Promise(resolve => {
        const asked = makeNonce();
        const timeout = timers.after(limits.proofTimeout, () => {
          proofs.delete(asked);
          resolve(
            failure(distributionCodes.noProof, 'the home did not answer'),
          );
        });
        proofs.set(asked, result => {
          timeout.cancel();
          resolve(result);
        });
        send({kind: 'prove', nonce: asked});
      });
    },
    sections: {
      current: () => held,
      onChange: observe => void sourceObservers.push(observe),
    },
    counts: () => ({...count}),
    stop: () => retry?.cancel(),
  };
}

/** Random, so that no answer made for another life can match it. */
function makeNonce(): string {
  return randomBytes(nonceBytes).toString('base64url');
}
