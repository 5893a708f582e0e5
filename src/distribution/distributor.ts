import type {HomePosition} from '../fleet/messages.js';
import type {Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {createBatcher} from './batcher.js';
import {distributionLimits} from './limits.js';
import type {Compare, Prove, Push, Request, Subscribe} from './messages.js';
import {boundBarrier, createProver} from './prover.js';
import type {Barrier} from './prover.js';
import type {SectionSource, SectionState} from './section-source.js';
import {answerProofs, createSession, respond} from './session.js';
import type {Session} from './session.js';
import {createStateView} from './state-view.js';
import {interestKey, selectCoveredNames, makePush} from './sync-plan.js';
import type {Moment} from '../time/moment.js';
import {createSyncer} from './syncer.js';
import type {SyncCounts} from './syncer.js';

/** Options of createDistributor; times in milliseconds. */
export interface DistributorOptions {
  /** Source of the states; its versions must only rise. */
  readonly source: SectionSource;
  /**
   * Confirms with a quorum that the source is as new as everything that was
   * accepted before the call. The source must have that state when the promise
   * resolves.
   */
  readonly barrier: Barrier;
  /**
   * Local time at which a quorum last confirmed the source; undefined if never.
   */
  readonly asOf: () => number | undefined;
  /**
   * The same by both clocks; undefined if it is not known. While a change is
   * announced to `source`, it is still that of the state before.
   */
  readonly confirmedAt?: () => Moment | undefined;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** How long further changes are collected after one was pushed. */
  readonly batchWindow: number;
  /** Number of states that are kept for deltas; default 1024. */
  readonly ringLength?: number;
  /**
   * Bytes of state sent per second to subscribers that synchronize; default 16
   * MiB.
   */
  readonly syncBytesPerSecond?: number;
  /** Test only: protections against failures, all on by default. */
  readonly safeguards?: {
    /** Synchronizations are admitted at a bounded rate. */
    readonly admission?: boolean;
    /** A nonce is answered only after a quorum has confirmed the state. */
    readonly proof?: boolean;
  };
}

/** Counters of a distributor. */
export interface DistributorCounts extends SyncCounts {
  /** Quorum rounds begun; many nonces share one. */
  readonly rounds: number;
  readonly subscribers: number;
}

/** Sends states and their changes to subscribers. */
export interface Distributor {
  /** Serves the configuration plane of one link. */
  accept(channels: Channels): void;
  /**
   * The version that was last pushed to all synchronized subscribers, and the
   * time at which it was still confirmed to be the newest.
   */
  position(): HomePosition;
  counts(): DistributorCounts;
  stop(): void;
}

/**
 * Creates the sending side of distribution, which is the same in control
 * processes and relays.
 */
export function createDistributor(options: DistributorOptions): Distributor {
  const {source, timers, random, log} = options;
  const limits = distributionLimits;
  const isProofRequired = options.safeguards?.proof ?? true;
  const sessions = new Set<Session>();
  const view = createStateView(source, options.ringLength ?? limits.ringLength);
  const prover = createProver(
    boundBarrier(options.barrier, timers, limits.proofTimeout),
  );
  const batcher = createBatcher(options.batchWindow, timers, flush);
  const syncer = createSyncer({
    view,
    timers,
    random,
    bytesPerSecond: options.syncBytesPerSecond ?? limits.syncBytesPerSecond,
    isAdmitting: options.safeguards?.admission ?? true,
  });
  const retryTimer = timers.every(limits.heldPushPeriod, retryHeldLinks);
  let publishedVersion = view.newest()?.version;
  /** The confirmation of the published state while a change waits. */
  let publishedConfirmedAt: Moment | undefined;

  /**
   * Pushes the newest state to all synchronized subscribers; those that wait
   * for a synchronization are skipped.
   */
  function flush(): void {
    const state = view.newest();
    if (state === undefined) return;
    const isFirstState = publishedVersion === undefined;
    publishedVersion = state.version;
    if (isFirstState) offerEarlySubscribers();
    else pushAll(state);
  }

  /** Offers the subscribers that asked before there was a state. */
  function offerEarlySubscribers(): void {
    for (const session of sessions) {
      if (session.subscription !== undefined) syncer.offer(session);
    }
  }

  function pushAll(state: SectionState): void {
    const prepared = new Map<string, Push>();
    for (const session of sessions) pushDelta(session, state, prepared);
  }

  /**
   * Subscribers of the same services at the same version share one prepared
   * push.
   */
  function pushDelta(
    session: Session,
    state: SectionState,
    prepared: Map<string, Push>,
  ): void {
    if (session.sent === undefined || session.sent >= state.version) return;
    if (session.channels.link.pending > limits.maxPendingBytes) return;
    const key = `${session.sent} ${session.subscription} ${session.key}`;
    const push = prepared.get(key) ?? prepareDelta(session, state);
    if (push === undefined) {
      resync(session);
      return;
    }
    prepared.set(key, push);
    session.sent = state.version;
    respond(session, push);
  }

  function prepareDelta(
    session: Session,
    state: SectionState,
  ): Push | undefined {
    const changed = view.changedSince(session.sent!);
    if (changed === undefined) return undefined;
    const subscription = session.subscription!;
    const names = selectCoveredNames(changed, session.services);
    if (names.length === 0) {
      const {version} = state;
      return {kind: 'push', subscription, version, base: session.sent};
    }
    const digest = view.digestFor(session);
    return makePush(state, subscription, digest, names, false);
  }

  /**
   * A link that was full for longer than the change ring covers is synchronized
   * by comparison.
   */
  function resync(session: Session): void {
    session.sent = undefined;
    respond(session, {kind: 'differ', subscription: session.subscription!});
  }

  /** Serves the links that were full when the last state was pushed. */
  function retryHeldLinks(): void {
    syncer.retry();
    const state = view.newest();
    if (state?.version === publishedVersion && state !== undefined)
      pushAll(state);
  }

  function subscribe(session: Session, request: Subscribe): void {
    const {subscription, services, version, digest, complete} = request;
    session.subscription = subscription;
    session.services = services;
    session.key = interestKey(services);
    session.position = {services, version, digest, complete};
    session.comparison = undefined;
    session.sent = undefined;
    session.provedNonces = [];
    syncer.drop(session);
    if (request.nonce === undefined) syncer.offer(session);
    else prove(session, request.nonce, () => syncer.offer(session));
  }

  function compare(session: Session, request: Compare): void {
    if (request.subscription !== session.subscription) return;
    session.comparison = request;
    session.sent = undefined;
    const {version} = request;
    session.position = {...session.position, version, digest: undefined};
    syncer.offer(session);
  }

  function prove(session: Session, nonce: string, onProved: () => void): void {
    const {subscription} = session;
    prover.prove(result => {
      if (!sessions.has(session)) return;
      if (session.subscription !== subscription) return;
      if (!isProved(result)) {
        respond(session, {kind: 'unproved', nonce});
        return;
      }
      session.provedNonces.push(nonce);
      onProved();
    });
  }

  function isProved(result: Result<number>): boolean {
    if (result.ok || !isProofRequired) return true;
    log.warn('no quorum confirmed the state', {code: result.code.number});
    return false;
  }

  /**
   * Sends the state before the proof, so that the subscriber holds the proved
   * version when the proof arrives.
   */
  function proveInStep(session: Session, request: Prove): void {
    prove(session, request.nonce, () => {
      const state = view.newest();
      if (state === undefined || session.sent === undefined) return;
      pushDelta(session, state, new Map());
      if (session.sent >= state.version) answerProofs(session, state.version);
    });
  }

  function receive(session: Session, request: Request): void {
    switch (request.kind) {
      case 'subscribe':
        subscribe(session, request);
        break;
      case 'compare':
        compare(session, request);
        break;
      case 'prove':
        proveInStep(session, request);
        break;
    }
  }

  source.onChange(() => {
    const isFirstWaiting = batcher.waitingSince() === undefined;
    if (isFirstWaiting) publishedConfirmedAt = options.confirmedAt?.();
    batcher.notify();
  });

  return {
    accept(channels) {
      const session = createSession(channels);
      sessions.add(session);
      channels.onClose(() => {
        syncer.drop(session);
        sessions.delete(session);
      });
      session.channel.onMessage(body => receive(session, body as Request));
    },
    position() {
      const asOf = options.asOf();
      const oldestWaiting = batcher.waitingSince();
      const isChangeWaiting = asOf !== undefined && oldestWaiting !== undefined;
      return {
        version: publishedVersion,
        asOf: isChangeWaiting ? Math.min(asOf, oldestWaiting) : asOf,
        // A process that catches up may have received the change long after its
        // acceptance, so its arrival here says nothing about the state before.
        confirmedAt:
          oldestWaiting === undefined
            ? options.confirmedAt?.()
            : publishedConfirmedAt,
      };
    },
    counts: () => ({
      ...syncer.counts(),
      rounds: prover.rounds(),
      subscribers: sessions.size,
    }),
    stop() {
      retryTimer.cancel();
      batcher.stop();
      syncer.stop();
    },
  };
}
