import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {createAdmission} from './admission.js';
import type {Ticket} from './admission.js';
import {createBatcher} from './batcher.js';
import {createChangeRing} from './change-ring.js';
import {distributionLimits} from './limits.js';
import type {
  Compare,
  Interest,
  Prove,
  Push,
  Request,
  Response,
  Subscribe,
} from './messages.js';
import {boundBarrier, createProver} from './prover.js';
import type {Barrier} from './prover.js';
import type {SectionSource, SectionState} from './section-source.js';
import {
  coveredSections,
  digestCovered,
  interestKey,
  intersect,
  makePush,
  planSync,
} from './sync-plan.js';
import type {Position} from './sync-plan.js';

/** Settings of a distributor; times in milliseconds. */
export interface DistributorOptions {
  /** The states to hand out; versions must only rise. */
  readonly source: SectionSource;
  /**
   * Confirms with a quorum that the source is as new as all that was accepted
   * before the call; the source must have reached that by then.
   */
  readonly barrier: Barrier;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** How long changes are gathered after one was sent. */
  readonly batchWindow: number;
  /** States remembered for deltas; default 1024. */
  readonly ringLength?: number;
  /** Bytes of state handed out in a second; default 16 MiB. */
  readonly syncBytesPerSecond?: number;
  /** Test only: parts that keep a failure away, all on by default. */
  readonly safeguards?: {
    readonly admission?: boolean;
    readonly proof?: boolean;
  };
}

/** Counters of a distributor. */
export interface DistributorCounts {
  readonly deltas: number;
  readonly comparisons: number;
  readonly snapshots: number;
  readonly postponed: number;
  readonly rounds: number;
  readonly subscribers: number;
}

/** Hands states to subscribers. */
export interface Distributor {
  /** Serves the configuration plane of one link. */
  accept(channels: Channels): void;
  /** The version last sent to all that are in step. */
  version(): number | undefined;
  /** When the oldest change not yet sent came; undefined for none. */
  waitingSince(): number | undefined;
  counts(): DistributorCounts;
  stop(): void;
}

interface Session {
  readonly channel: Channel;
  readonly channels: Channels;
  subscription: number;
  services: Interest;
  key: string;
  position: Position;
  /** Digests that the subscriber told, section by section. */
  compared: Compare | undefined;
  /** The version last sent; undefined while a sync is awaited. */
  sent: number | undefined;
  /** Nonces proved and not yet answered. */
  proved: string[];
  ticket: Ticket | undefined;
}

/** Creates the source side of distribution, the same in control and relay. */
export function createDistributor(options: DistributorOptions): Distributor {
  const {source, timers, random, log} = options;
  const limits = distributionLimits;
  const guarded = {admission: true, proof: true, ...options.safeguards};
  const sessions = new Set<Session>();
  const ring = createChangeRing(options.ringLength ?? limits.ringLength);
  const prover = createProver(
    boundBarrier(options.barrier, timers, limits.proofTimeout),
  );
  const batcher = createBatcher(options.batchWindow, timers, flush);
  const admission = createAdmission({
    timers,
    random,
    rate: options.syncBytesPerSecond ?? limits.syncBytesPerSecond,
    overhead: limits.syncOverhead,
    horizon: limits.syncHorizon,
    tick: limits.syncTick,
  });
  const count = {deltas: 0, comparisons: 0, snapshots: 0, postponed: 0};
  const held = timers.every(limits.pendingTick, pushHeld);
  let seen: SectionState | undefined;
  let flushed: number | undefined;
  let digests = new Map<string, string>();

  /** The newest state, with the ring and the digests brought up to it. */
  function advance(): SectionState | undefined {
    const state = source.current();
    if (state === undefined || state === seen) return state;
    ring.advance(state);
    seen = state;
    digests = new Map();
    return state;
  }

  function digestOf(state: SectionState, session: Session): string {
    const known = digests.get(session.key);
    if (known !== undefined) return known;
    const digest = digestCovered(state, session.services);
    digests.set(session.key, digest);
    return digest;
  }

  function send(session: Session, response: Response): void {
    session.channel.send(response);
  }

  /** Sends the newest state to all in step; those that wait are left out. */
  function flush(): void {
    const state = advance();
    if (state === undefined) return;
    flushed = state.version;
    const prepared = new Map<string, Push>();
    for (const session of sessions) pushTo(session, state, prepared);
  }

  function pushTo(
    session: Session,
    state: SectionState,
    prepared: Map<string, Push>,
  ): void {
    if (session.sent === undefined || session.sent >= state.version) return;
    if (session.channels.link.pending > limits.pendingBytes) return;
    const key = `${session.sent} ${session.subscription} ${session.key}`;
    const push = prepared.get(key) ?? prepareDelta(session, state);
    if (push === undefined) {
      resync(session);
      return;
    }
    prepared.set(key, push);
    session.sent = state.version;
    send(session, push);
  }

  function prepareDelta(
    session: Session,
    state: SectionState,
  ): Push | undefined {
    const changed = ring.since(session.sent!);
    if (changed === undefined) return undefined;
    const names = intersect(changed, session.services);
    const {subscription} = session;
    if (names.length === 0) {
      return {kind: 'push', subscription, version: state.version};
    }
    const digest = digestOf(state, session);
    return makePush(state, subscription, digest, names, false);
  }

  /** A link that was full for longer than the ring reaches is synced anew. */
  function resync(session: Session): void {
    session.sent = undefined;
    send(session, {kind: 'differ', subscription: session.subscription});
  }

  function pushHeld(): void {
    if (seen === undefined || batcher.waitingSince() !== undefined) return;
    flush();
  }

  function offer(session: Session): void {
    session.ticket?.cancel();
    session.ticket = undefined;
    const state = advance();
    if (state === undefined) return;
    const plan = planFor(session, state);
    if (plan.way === 'current' || !guarded.admission) {
      sync(session);
      return;
    }
    const {version} = session.position;
    session.ticket = admission.offer({
      need: version === undefined ? Infinity : state.version - version,
      cost: plan.cost,
      admit: () => sync(session),
      postpone: after => postpone(session, after),
    });
  }

  function postpone(session: Session, after: number): void {
    count.postponed++;
    send(session, {kind: 'later', subscription: session.subscription, after});
  }

  function planFor(session: Session, state: SectionState) {
    const digest = digestOf(state, session);
    const {version} = session.position;
    const changed = version === undefined ? undefined : ring.since(version);
    return planSync(state, digest, session.position, changed);
  }

  function sync(session: Session): void {
    session.ticket = undefined;
    const state = advance();
    if (state === undefined || !sessions.has(session)) return;
    const isSent =
      session.compared === undefined
        ? syncByPlan(session, state)
        : syncByComparison(session, state, session.compared);
    if (!isSent) return;
    session.sent = state.version;
    session.compared = undefined;
    answerProofs(session, state.version);
  }

  function syncByPlan(session: Session, state: SectionState): boolean {
    const digest = digestOf(state, session);
    const {subscription} = session;
    const plan = planFor(session, state);
    switch (plan.way) {
      case 'current':
        send(session, makePush(state, subscription, digest, [], false));
        return true;
      case 'delta':
        count.deltas++;
        send(session, makePush(state, subscription, digest, plan.names, false));
        return true;
      case 'snapshot':
        count.snapshots++;
        sendSnapshot(session, state, digest);
        return true;
      case 'compare':
        send(session, {kind: 'differ', subscription});
        return false;
    }
  }

  function sendSnapshot(
    session: Session,
    state: SectionState,
    digest: string,
  ): void {
    const covered = [...coveredSections(state, session.services)];
    const names = covered.map(([name]) => name);
    send(session, makePush(state, session.subscription, digest, names, true));
  }

  function syncByComparison(
    session: Session,
    state: SectionState,
    compared: Compare,
  ): boolean {
    count.comparisons++;
    const wanted = new Map(coveredSections(state, session.services));
    const names = new Set<string>();
    for (const [name, stored] of wanted) {
      if (compared.digests[name] !== stored.digest) names.add(name);
    }
    for (const name of Object.keys(compared.digests)) {
      if (!wanted.has(name)) names.add(name);
    }
    const digest = digestOf(state, session);
    send(session, makePush(state, session.subscription, digest, names, false));
    return true;
  }

  function subscribe(session: Session, request: Subscribe): void {
    const {subscription, services, version, digest, complete} = request;
    session.subscription = subscription;
    session.services = services;
    session.key = interestKey(services);
    session.position = {services, version, digest, complete};
    session.compared = undefined;
    session.sent = undefined;
    session.proved = [];
    if (request.nonce === undefined) offer(session);
    else prove(session, request.nonce, () => offer(session));
  }

  function compare(session: Session, request: Compare): void {
    if (request.subscription !== session.subscription) return;
    session.compared = request;
    session.sent = undefined;
    const {version} = request;
    session.position = {...session.position, version, digest: undefined};
    offer(session);
  }

  function prove(session: Session, nonce: string, proved: () => void): void {
    const {subscription} = session;
    prover.prove(result => {
      if (!sessions.has(session)) return;
      if (session.subscription !== subscription) return;
      if (!isProved(result)) {
        send(session, {kind: 'unproved', nonce});
        return;
      }
      session.proved.push(nonce);
      proved();
    });
  }

  function isProved(result: Result<number>): boolean {
    if (result.ok || !guarded.proof) return true;
    log.warn('no quorum confirmed the state', {code: result.code.number});
    return false;
  }

  /** The state goes first, so that the proof finds it at the subscriber. */
  function proveInStep(session: Session, request: Prove): void {
    prove(session, request.nonce, () => {
      const state = advance();
      if (state === undefined || session.sent === undefined) return;
      pushTo(session, state, new Map());
      if (session.sent >= state.version) answerProofs(session, state.version);
    });
  }

  function answerProofs(session: Session, version: number): void {
    for (const nonce of session.proved.splice(0)) {
      send(session, {kind: 'proof', nonce, version});
    }
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
    const isFirst = seen === undefined;
    batcher.notify();
    if (!isFirst) return;
    for (const session of sessions) if (session.key !== '') offer(session);
  });
  advance();
  flushed = seen?.version;

  return {
    accept(channels) {
      const session: Session = {
        channel: channels.on('configuration'),
        channels,
        subscription: 0,
        services: [],
        key: '',
        position: {
          services: [],
          version: undefined,
          digest: undefined,
          complete: false,
        },
        compared: undefined,
        sent: undefined,
        proved: [],
        ticket: undefined,
      };
      sessions.add(session);
      channels.onClose(() => {
        session.ticket?.cancel();
        sessions.delete(session);
      });
      session.channel.onMessage(body => receive(session, body as Request));
    },
    version: () => flushed,
    waitingSince: () => batcher.waitingSince(),
    counts: () => ({
      ...count,
      rounds: prover.rounds(),
      subscribers: sessions.size,
    }),
    stop() {
      held.cancel();
      batcher.stop();
      admission.stop();
    },
  };
}
