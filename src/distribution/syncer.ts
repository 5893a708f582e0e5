import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import {createAdmission} from './admission.js';
import {distributionLimits} from './limits.js';
import type {Compare} from './messages.js';
import type {SectionState} from './section-source.js';
import {answerProofs, respond} from './session.js';
import type {Session} from './session.js';
import type {StateView} from './state-view.js';
import {coveredSections, makePush, planSync} from './sync-plan.js';
import type {SyncPlan} from './sync-plan.js';

/** Counters of synchronizations. */
export interface SyncCounts {
  readonly current: number;
  readonly deltas: number;
  readonly comparisons: number;
  readonly snapshots: number;
  readonly postponed: number;
}

/** Synchronizes subscribers with the newest state. */
export interface Syncer {
  /**
   * Accepts a subscriber that is not synchronized. It is synchronized or
   * instructed to repeat its request.
   */
  offer(session: Session): void;
  /** Offers again the subscribers whose links were full. */
  retry(): void;
  /** Removes a subscriber from those that wait for a synchronization. */
  drop(session: Session): void;
  counts(): SyncCounts;
  stop(): void;
}

/** Options of createSyncer. */
export interface SyncerOptions {
  readonly view: StateView;
  readonly timers: Timers;
  readonly random: Random;
  /** Bytes of state sent per second, of all subscribers together. */
  readonly bytesPerSecond: number;
  /** False in tests only: every subscriber is then synchronized at once. */
  readonly isAdmitting: boolean;
}

/** Creates a syncer without subscribers. */
export function createSyncer(options: SyncerOptions): Syncer {
  const {view, timers, random} = options;
  const limits = distributionLimits;
  const admission = createAdmission({
    timers,
    random,
    rate: options.bytesPerSecond,
    overhead: limits.syncOverheadBytes,
    maxQueueSeconds: limits.maxSyncQueueSeconds,
    period: limits.syncAdmissionPeriod,
  });
  const congested = new Set<Session>();
  const count = {
    current: 0,
    deltas: 0,
    comparisons: 0,
    snapshots: 0,
    postponed: 0,
  };

  function offer(session: Session): void {
    drop(session);
    const state = view.newest();
    if (state === undefined) return;
    if (session.channels.link.pending > limits.maxPendingBytes) {
      congested.add(session);
      return;
    }
    const plan = planFor(session, state);
    if (plan.kind === 'current' || !options.isAdmitting) {
      sync(session);
      return;
    }
    const {version} = session.position;
    const ticket = admission.offer({
      versionsBehind:
        version === undefined ? Infinity : state.version - version,
      cost: plan.cost,
      admit: () => sync(session),
      postpone: after => postpone(session, after),
    });
    if (session.sent === undefined) session.ticket = ticket;
  }

  function drop(session: Session): void {
    congested.delete(session);
    session.ticket?.cancel();
    session.ticket = undefined;
  }

  function postpone(session: Session, after: number): void {
    count.postponed++;
    respond(session, {
      kind: 'later',
      subscription: session.subscription!,
      after,
    });
  }

  function planFor(session: Session, state: SectionState): SyncPlan {
    const {position} = session;
    const {version} = position;
    const changed =
      version === undefined ? undefined : view.changedSince(version);
    return planSync(state, view.digestFor(session), position, changed);
  }

  function sync(session: Session): void {
    session.ticket = undefined;
    const state = view.newest()!;
    const {comparison} = session;
    const isSent =
      comparison === undefined
        ? syncByPlan(session, state)
        : syncByComparison(session, state, comparison);
    if (!isSent) return;
    session.sent = state.version;
    session.comparison = undefined;
    answerProofs(session, state.version);
  }

  function syncByPlan(session: Session, state: SectionState): boolean {
    const plan = planFor(session, state);
    switch (plan.kind) {
      case 'current':
        count.current++;
        push(session, state, [], false);
        return true;
      case 'delta':
        count.deltas++;
        push(session, state, plan.names, false);
        return true;
      case 'snapshot':
        count.snapshots++;
        push(session, state, coveredNames(session, state), true);
        return true;
      case 'compare':
        respond(session, {
          kind: 'differ',
          subscription: session.subscription!,
        });
        return false;
    }
  }

  function coveredNames(session: Session, state: SectionState): string[] {
    const covered = coveredSections(state, session.services);
    return [...covered].map(([name]) => name);
  }

  function syncByComparison(
    session: Session,
    state: SectionState,
    comparison: Compare,
  ): boolean {
    count.comparisons++;
    const covered = new Map(coveredSections(state, session.services));
    const names = new Set(covered.keys());
    for (const {name, digest} of comparison.digests) {
      const stored = covered.get(name);
      if (stored === undefined) names.add(name);
      else if (stored.digest === digest) names.delete(name);
    }
    push(session, state, names, false);
    return true;
  }

  function push(
    session: Session,
    state: SectionState,
    names: Iterable<string>,
    whole: boolean,
  ): void {
    const digest = view.digestFor(session);
    respond(
      session,
      makePush(state, session.subscription!, digest, names, whole),
    );
  }

  return {
    offer,
    retry() {
      for (const session of [...congested]) offer(session);
    },
    drop,
    counts: () => ({...count}),
    stop: () => admission.stop(),
  };
}
