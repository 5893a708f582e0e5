import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {isAppointer} from './appointer-name.js';
import {configurationCodes as codes} from './codes.js';
import type {Item, Kind, Service} from './configuration.js';
import type {ItemStore, Replacement, Value} from './item-store.js';
import type {Bounds} from './limits.js';
import type {Command, Edit} from './messages.js';
import {validate} from './validation.js';

/**
 * Makes all edits of a command or none, and gives what they replaced; empty
 * when nothing changed. They are made in place and undone when the state that
 * they lead to is refused, so that a command costs its edits and not a copy.
 */
export function editStore(
  store: ItemStore,
  {operator, edits}: Command,
  bounds: Bounds,
  isValidated: boolean,
): Result<readonly Replacement[]> {
  const done: Replacement[] = [];
  const edited = replaceAll(store, edits, isAppointer(operator), done);
  const checked =
    edited.ok && isValidated ? validate(store, done, bounds) : edited;
  if (checked.ok) return success(done);
  undo(store, done);
  return checked;
}

/** Makes all edits, keeping in `done` what changed; stops at a missing item. */
function replaceAll(
  store: ItemStore,
  edits: readonly Edit[],
  byAppointer: boolean,
  done: Replacement[],
): Result<void> {
  for (const edit of edits) {
    if (edit.action === 'put') {
      put(store, byAppointer ? edit.item : keepKeepers(store, edit.item), done);
      continue;
    }
    const {kind, name} = edit;
    if (store.get(kind, name) === undefined) return missing(kind, name);
    done.push(store.replace({kind, name}, undefined));
  }
  return success(undefined);
}

function put(store: ItemStore, item: Item, done: Replacement[]): void {
  const {kind, value} = item;
  if (isSame(store.get(kind, value.name), value)) return;
  done.push(store.replace({kind, name: value.name}, value));
}

/**
 * Keepers stay as they are when an operator puts a service: another set, or
 * none, would forget which keys have run.
 */
function keepKeepers(store: ItemStore, item: Item): Item {
  if (item.kind !== 'service') return item;
  const {name, slowStart} = item.value;
  const before = store.get('service', name) as Service | undefined;
  const keepers = before?.keepers;
  const value =
    keepers === undefined ? {name, slowStart} : {name, slowStart, keepers};
  return {kind: 'service', value};
}

function missing(kind: Kind, name: string): Result<never> {
  return failure(codes.notFound, `there is no ${kind} ${name}`);
}

function undo(store: ItemStore, done: readonly Replacement[]): void {
  for (const {kind, name, before} of [...done].reverse()) {
    store.replace({kind, name}, before);
  }
}

/** Items have their keys in one order, so equal items are equal text. */
function isSame(left: Value | undefined, right: Value): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
