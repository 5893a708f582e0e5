import {digestState} from './digest.js';
import type {Interest, PackedSection, Push} from './messages.js';
import {sectionsOfService, serviceOf} from './section-name.js';
import type {SectionState, StoredSection} from './section-source.js';

/**
 * Estimated bytes of the digest of a section in a comparison, in addition to
 * its name.
 */
const comparedBytes = 26;

/** Bytes of a push in addition to its sections. */
const pushBytes = 80;

/**
 * A comparison is made only if it can save this multiple of its cost. If it
 * saves nothing, at most a quarter more is sent than necessary.
 */
const comparisonFactor = 4;

/** What a subscriber holds and requests, as far as its distributor knows. */
export interface SubscriberPosition {
  readonly services: Interest;
  readonly version: number | undefined;
  readonly digest: string | undefined;
  readonly complete: boolean;
}

/** The cheapest way to synchronize a subscriber, with its cost in bytes. */
export type SyncPlan =
  | {readonly kind: 'current'; readonly cost: number}
  | {
      readonly kind: 'delta';
      readonly cost: number;
      readonly names: readonly string[];
    }
  | {readonly kind: 'compare'; readonly cost: number}
  | {readonly kind: 'snapshot'; readonly cost: number};

/** Yields the sections of a state that an interest covers. */
export function* coveredSections(
  state: SectionState,
  services: Interest,
): Generator<[string, StoredSection]> {
  if (services === 'all') {
    yield* state.sections;
    return;
  }
  for (const service of services) {
    yield* sectionsOfService(state.sections, service);
  }
}

/** Returns a key that is equal for equal sets of services. */
export function interestKey(services: Interest): string {
  if (services === 'all') return '*';
  return [...services].sort().join(' ');
}

/** Returns the digest of the sections that an interest covers in a state. */
export function digestCovered(state: SectionState, services: Interest): string {
  const digests: Array<[string, string]> = [];
  for (const [name, stored] of coveredSections(state, services)) {
    digests.push([name, stored.digest]);
  }
  return digestState(digests);
}

/**
 * Plans the synchronization of a subscriber. `changed` names the sections
 * changed since its version, or is undefined if the change ring does not reach
 * back that far. All kinds of plan lead to the digest of the same state.
 */
export function planSync(
  state: SectionState,
  digest: string,
  position: SubscriberPosition,
  changed: ReadonlySet<string> | undefined,
): SyncPlan {
  if (position.digest === digest) return {kind: 'current', cost: pushBytes};
  const snapshot = costOf(state, position.services);
  if (position.version === undefined) return {kind: 'snapshot', cost: snapshot};
  const delta = planDelta(state, position, changed);
  const compare = costOfComparison(state, position.services);
  const isWorthComparing = compare * comparisonFactor < snapshot;
  // A large step, such as a restored snapshot, yields a delta of nearly all
  // sections, although few may differ.
  const isExpensive =
    delta !== undefined && delta.cost > compare * comparisonFactor;
  if (delta !== undefined && !(isExpensive && isWorthComparing)) {
    return delta.cost <= snapshot ? delta : {kind: 'snapshot', cost: snapshot};
  }
  if (isWorthComparing) return {kind: 'compare', cost: compare};
  return {kind: 'snapshot', cost: snapshot};
}

/** Returns the push that replaces, adds or removes the sections `names`. */
export function makePush(
  state: SectionState,
  subscription: number,
  digest: string,
  names: Iterable<string>,
  whole: boolean,
): Push {
  const sections: PackedSection[] = [];
  const removed: string[] = [];
  for (const name of names) {
    const stored = state.sections.get(name);
    if (stored === undefined) removed.push(name);
    else sections.push(stored.packed);
  }
  return {
    kind: 'push',
    subscription,
    version: state.version,
    ...(sections.length > 0 && {sections}),
    ...(removed.length > 0 && {removed}),
    ...(whole && {whole}),
    digest,
  };
}

function planDelta(
  state: SectionState,
  position: SubscriberPosition,
  changed: ReadonlySet<string> | undefined,
): SyncPlan | undefined {
  if (changed === undefined || !position.complete) return undefined;
  const names = selectCoveredNames(changed, position.services);
  let cost = pushBytes;
  for (const name of names) cost += bytesOf(name, state.sections.get(name));
  return {kind: 'delta', cost, names};
}

/**
 * Returns the names in `changed` that an interest covers, including removed
 * ones.
 */
export function selectCoveredNames(
  changed: ReadonlySet<string>,
  services: Interest,
): string[] {
  if (services === 'all') return [...changed];
  const wanted = new Set(services);
  return [...changed].filter(name => wanted.has(serviceOf(name)));
}

function costOf(state: SectionState, services: Interest): number {
  let cost = pushBytes;
  for (const [name, stored] of coveredSections(state, services)) {
    cost += bytesOf(name, stored);
  }
  return cost;
}

function costOfComparison(state: SectionState, services: Interest): number {
  let cost = pushBytes;
  for (const [name] of coveredSections(state, services)) {
    cost += name.length + comparedBytes;
  }
  return cost;
}

function bytesOf(name: string, stored: StoredSection | undefined): number {
  return name.length + (stored?.packed.bytes.length ?? 0);
}
