import {digestState} from './digest.js';
import type {Interest, PackedSection, Push} from './messages.js';
import {sectionsOfService, serviceOf} from './section-name.js';
import type {SectionState, StoredSection} from './section-source.js';

/** Estimated bytes of a section's digest in a comparison, besides its name. */
const comparedBytes = 26;

/** Bytes of a push besides its sections. */
const pushBytes = 80;

/** How many times its cost a comparison must be able to save: a regret of a quarter. */
const comparisonWorth = 4;

/** What a subscriber holds and wants, as far as its distributor knows. */
export interface SubscriberPosition {
  readonly services: Interest;
  readonly version: number | undefined;
  readonly digest: string | undefined;
  readonly complete: boolean;
}

/** The cheapest way to bring a subscriber to a state. */
export type SyncPlan =
  | {readonly way: 'current'; readonly cost: number}
  | {
      readonly way: 'delta';
      readonly cost: number;
      readonly names: readonly string[];
    }
  | {readonly way: 'compare'; readonly cost: number}
  | {readonly way: 'snapshot'; readonly cost: number};

/** The sections of a state that an interest covers. */
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

/** One text for each set of services. */
export function interestKey(services: Interest): string {
  if (services === 'all') return '*';
  return [...services].sort().join(' ');
}

/** The digest of what an interest covers in a state. */
export function digestCovered(state: SectionState, services: Interest): string {
  const digests: Array<[string, string]> = [];
  for (const [name, stored] of coveredSections(state, services)) {
    digests.push([name, stored.digest]);
  }
  return digestState(digests);
}

/**
 * Plans a sync. `changed` names the sections changed since the subscriber's
 * version, or is undefined when the ring does not reach back so far. All ways
 * end in the digest of the same state.
 */
export function planSync(
  state: SectionState,
  digest: string,
  position: SubscriberPosition,
  changed: ReadonlySet<string> | undefined,
): SyncPlan {
  if (position.digest === digest) return {way: 'current', cost: pushBytes};
  const snapshot = costOf(state, position.services);
  if (position.version === undefined) return {way: 'snapshot', cost: snapshot};
  const delta = planDelta(state, position, changed);
  const compare = costOfComparison(state, position.services);
  const isWorthComparing = compare * comparisonWorth < snapshot;
  // What was seen in one large step, such as a restored snapshot, makes a delta
  // of nearly everything, though little may differ.
  const isDear = delta !== undefined && delta.cost > compare * comparisonWorth;
  if (delta !== undefined && !(isDear && isWorthComparing)) {
    return delta.cost <= snapshot ? delta : {way: 'snapshot', cost: snapshot};
  }
  if (isWorthComparing) return {way: 'compare', cost: compare};
  return {way: 'snapshot', cost: snapshot};
}

/** Makes the push that replaces or renews `names`. */
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
  return {way: 'delta', cost, names};
}

/** The names of `changed` that an interest covers, gone ones included. */
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
