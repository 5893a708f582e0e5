import {configurationCodes as codes} from './codes.js';
import type {Kind, Route} from './configuration.js';
import {references} from './item-store.js';
import type {ItemStore, Reference, Replacement} from './item-store.js';
import type {Bounds} from './limits.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';

const plurals = {
  service: 'services',
  route: 'routes',
  policy: 'policies',
  drain: 'drains',
} as const;

/**
 * Checks the state that a command's replacements have led to. Only what the
 * command touched is looked at: the state before it was valid, so a fault can
 * only lie at a touched item or at one that refers to it.
 */
export function validate(
  store: ItemStore,
  replacements: readonly Replacement[],
  bounds: Bounds,
): Result<void> {
  for (const {kind, name} of replacements) {
    const checked = checkItem(store, {kind, name});
    if (!checked.ok) return checked;
  }
  return checkCounts(store, replacements, bounds);
}

function checkItem(store: ItemStore, reference: Reference): Result<void> {
  const value = store.get(reference.kind, reference.name);
  if (value === undefined) return checkRemoved(store, reference);
  for (const target of references(reference.kind, value)) {
    if (store.get(target.kind, target.name) !== undefined) continue;
    return failure(
      codes.missingReference,
      `${show(reference)} needs ${show(target)}, which does not exist`,
    );
  }
  if (reference.kind !== 'route') return success(undefined);
  return checkOverlap(store, value as Route);
}

function checkRemoved(store: ItemStore, reference: Reference): Result<void> {
  const [referrer] = store.referrers(reference).map(show).sort();
  if (referrer === undefined) return success(undefined);
  return failure(
    codes.stillReferenced,
    `${show(reference)} is still used by ${referrer}`,
  );
}

function checkOverlap(store: ItemStore, route: Route): Result<void> {
  for (const other of store.sharing(route.prefix)) {
    if (other.name === route.name || !overlap(route, other)) continue;
    return failure(
      codes.routeOverlap,
      `route ${route.name} takes the same requests as route ${other.name}: ` +
        `${route.prefix} ${route.methods.join(',') || '(all methods)'}`,
    );
  }
  return success(undefined);
}

/**
 * Two routes of one prefix overlap when they share a method or both take all;
 * a route with methods of its own goes before one that takes all.
 */
function overlap(left: Route, right: Route): boolean {
  if (left.methods.length === 0 || right.methods.length === 0) {
    return left.methods.length === right.methods.length;
  }
  return left.methods.some(method => right.methods.includes(method));
}

function checkCounts(
  store: ItemStore,
  replacements: readonly Replacement[],
  bounds: Bounds,
): Result<void> {
  for (const {kind, before, after} of replacements) {
    if (before !== undefined || after === undefined) continue;
    const checked = checkCount(store, kind, bounds);
    if (!checked.ok) return checked;
  }
  return success(undefined);
}

function checkCount(
  store: ItemStore,
  kind: Kind,
  bounds: Bounds,
): Result<void> {
  const limit = bounds[plurals[kind]];
  if (store.count(kind) <= limit) return success(undefined);
  return failure(
    codes.limitExceeded,
    `there would be more than ${limit} ${plurals[kind]}; ` +
      `see limits.${plurals[kind]} in the settings`,
  );
}

function show({kind, name}: Reference): string {
  return `${kind} ${name}`;
}
