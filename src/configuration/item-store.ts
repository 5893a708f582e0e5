import type {
  Configuration,
  Drain,
  Item,
  Kind,
  Policy,
  Route,
  Service,
} from './configuration.js';

/** An item without its kind. */
export type Value = Item['value'];

/** The kind and name of an item. */
export interface Reference {
  readonly kind: Kind;
  readonly name: string;
}

/** What one replacement took the place of; the way back. */
export interface Replacement extends Reference {
  readonly before: Value | undefined;
  readonly after: Value | undefined;
}

/**
 * The items in force, with the indexes that keep validation of an edit
 * independent of the number of items: who refers to an item, and which routes
 * share a prefix.
 */
export interface ItemStore {
  get(kind: Kind, name: string): Value | undefined;
  count(kind: Kind): number;
  /** Puts `value` in the place of what is there; undefined removes. */
  replace(reference: Reference, value: Value | undefined): Replacement;
  /** Items that refer to the item, there or not. */
  referrers(reference: Reference): readonly Reference[];
  /** Routes with exactly this prefix. */
  sharing(prefix: string): readonly Route[];
  /** The items at `version`; kinds without change since keep their map. */
  freeze(version: number): Configuration;
  /** Items of one kind in the order of their names. */
  sorted(kind: Kind): readonly Value[];
}

/** Creates an empty store. */
export function createItemStore(): ItemStore {
  const items: Record<Kind, Map<string, Value>> = {
    service: new Map(),
    route: new Map(),
    policy: new Map(),
    drain: new Map(),
  };
  const frozen = new Map<Kind, ReadonlyMap<string, Value>>();
  const referring = new Map<string, Map<string, Reference>>();
  const prefixes = new Map<string, Set<string>>();

  function replace(
    reference: Reference,
    value: Value | undefined,
  ): Replacement {
    const {kind, name} = reference;
    const before = items[kind].get(name);
    if (before !== undefined) unlink(reference, before);
    if (value === undefined) items[kind].delete(name);
    else items[kind].set(name, value);
    if (value !== undefined) link(reference, value);
    frozen.delete(kind);
    return {kind, name, before, after: value};
  }

  function link(reference: Reference, value: Value): void {
    for (const target of references(reference.kind, value)) {
      const key = toKey(target);
      const sources = referring.get(key) ?? new Map<string, Reference>();
      sources.set(toKey(reference), reference);
      referring.set(key, sources);
    }
    if (reference.kind !== 'route') return;
    const {prefix, name} = value as Route;
    prefixes.set(prefix, (prefixes.get(prefix) ?? new Set()).add(name));
  }

  function unlink(reference: Reference, value: Value): void {
    for (const target of references(reference.kind, value)) {
      const key = toKey(target);
      const sources = referring.get(key);
      sources?.delete(toKey(reference));
      if (sources?.size === 0) referring.delete(key);
    }
    if (reference.kind !== 'route') return;
    const {prefix, name} = value as Route;
    const names = prefixes.get(prefix);
    names?.delete(name);
    if (names?.size === 0) prefixes.delete(prefix);
  }

  function freezeKind<T>(kind: Kind): ReadonlyMap<string, T> {
    const kept = frozen.get(kind) ?? new Map(items[kind]);
    frozen.set(kind, kept);
    return kept as ReadonlyMap<string, unknown> as ReadonlyMap<string, T>;
  }

  return {
    get: (kind, name) => items[kind].get(name),
    count: kind => items[kind].size,
    replace,
    referrers: reference => [
      ...(referring.get(toKey(reference))?.values() ?? []),
    ],
    sharing: prefix =>
      [...(prefixes.get(prefix) ?? [])].map(
        name => items.route.get(name) as Route,
      ),
    freeze: version => ({
      version,
      services: freezeKind<Service>('service'),
      routes: freezeKind<Route>('route'),
      policies: freezeKind<Policy>('policy'),
      drains: freezeKind<Drain>('drain'),
    }),
    sorted: kind =>
      [...items[kind].keys()].sort().map(name => items[kind].get(name)!),
  };
}

/** The items that an item refers to. */
export function references(kind: Kind, value: Value): readonly Reference[] {
  if (kind === 'route') {
    const route = value as Route;
    return [
      {kind: 'service', name: route.service},
      {kind: 'policy', name: route.policy},
    ];
  }
  if (kind !== 'drain') return [];
  return [{kind: 'service', name: (value as Drain).service}];
}

function toKey(reference: Reference): string {
  return `${reference.kind} ${reference.name}`;
}
