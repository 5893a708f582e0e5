import test from 'ava';
import {commonCodes} from '../result/codes.js';
import type {Failure} from '../result/failure.js';
import {configurationCodes as codes} from './codes.js';
import type {Item} from './configuration.js';
import {decodeAnswer, decodeEntry, encodeEntry} from './log-entry.js';
import type {ReplacementEntry} from './log-entry.js';
import {
  createSampleMachine,
  putPolicy,
  putRoute,
  putService,
} from './fakes/sample.js';
import type {Replacement} from './messages.js';

const routeCount = 2_400;

function itemsOf(changed: number): Item[] {
  const routes = Array.from({length: routeCount}, (_, index) => {
    const prefix = index === 7 ? `/changed/${changed}` : `/r/${index}`;
    return putRoute(`route-${index}`, 'stock-desk', 'lookups', prefix);
  });
  const edits = [putService('stock-desk'), putPolicy('lookups'), ...routes];
  return edits.flatMap(edit => (edit.action === 'put' ? [edit.item] : []));
}

/** A revision of 2,400 routes and about 400 kB; `changed` varies one route. */
function revision(number: number, base: number, changed = number): Replacement {
  const items = itemsOf(changed);
  const filler = 'x'.repeat(60);
  const document = JSON.stringify({base, items, filler, number}).replaceAll(
    '"methods"',
    `"${filler}":0,"methods"`,
  );
  return {revision: number, base, items, document};
}

function createTestLog() {
  const machine = createSampleMachine();
  const log: Uint8Array[] = [];
  const apply = (entry: Uint8Array) => {
    log.push(entry);
    return decodeAnswer(machine.apply(log.length, entry)).code;
  };
  const put = (replacement: Replacement) =>
    apply(machine.prepareReplacement(replacement, 0));
  return {machine, log, apply, put};
}

const ok = commonCodes.ok.number;

// Failure: each change of one route sends the operator's whole text to each
// follower. Configuration then takes up most of the capacity of links between
// failure domains, and callers on slow links have to wait.
test('the log entry for a change of one route is small', t => {
  const {put, log, machine} = createTestLog();
  const first = revision(1, 0);
  t.true(first.document.length > 400_000);
  t.is(put(first), ok);
  t.is(put(revision(2, 1)), ok);
  t.true(log[1]!.length < 4_096, `${log[1]!.length} bytes`);
  t.is(machine.revision()!.document, revision(2, 1).document);
});

test('the first revision in the log and snapshots are compressed', t => {
  const {put, log, machine} = createTestLog();
  const first = revision(1, 0);
  put(first);
  t.true(log[0]!.length < first.document.length / 4);
  t.true(machine.snapshot().length < first.document.length / 4);
});

test('a follower that starts from a snapshot applies the differences after it', t => {
  const {put, log, machine} = createTestLog();
  put(revision(1, 0));
  put(revision(2, 1));
  const other = createSampleMachine();
  other.restore(2, machine.snapshot());
  put(revision(3, 2));
  other.apply(3, log[2]!);
  t.deepEqual(other.revision(), machine.revision());
  t.is(other.digest(), machine.digest());
});

test('the next leader continues with the differences of the previous leader', t => {
  const {put, log, apply, machine} = createTestLog();
  put(revision(1, 0));
  put(revision(2, 1));
  const next = createSampleMachine();
  log.forEach((entry, index) => next.apply(index + 1, entry));
  t.is(apply(next.prepareReplacement(revision(5, 2), 0)), ok);
  t.is(machine.revision()!.document, revision(5, 2).document);
});

test('the second of two concurrent changes to one revision is refused', t => {
  const {apply, machine} = createTestLog();
  apply(machine.prepareReplacement(revision(1, 0), 0));
  const left = machine.prepareReplacement(revision(2, 1), 0);
  const right = machine.prepareReplacement(revision(2, 1, 99), 0);
  t.is(apply(left), ok);
  t.is(apply(right), codes.conflict.number);
  t.is(machine.revision()!.document, revision(2, 1).document);
});

test('a resend of an older revision gets the first answer again', t => {
  const {put, machine} = createTestLog();
  for (const number of [1, 2, 3]) put(revision(number, number - 1));
  t.is(put(revision(2, 1)), ok);
  t.is(put(revision(2, 1, 99)), codes.conflict.number);
  t.is(machine.revision()!.number, 3);
});

test('a log with whole texts leads to the same state', t => {
  const {put, log, machine} = createTestLog();
  put(revision(1, 0));
  put(revision(2, 1));
  const old = createSampleMachine();
  log.forEach((bytes, index) => {
    const entry = decodeEntry(bytes) as ReplacementEntry;
    const {document} = revision(index + 1, index);
    const replacement = {...entry.replacement, document};
    old.apply(index + 1, encodeEntry({...entry, replacement}));
  });
  t.is(old.digest(), machine.digest());
});

// Failure: an operator reads a text that no operator sent. The text in force is
// damaged at one process, which then applies a difference to it.
test('a difference from a damaged text stops the process', t => {
  const {put, log} = createTestLog();
  put(revision(1, 0));
  put(revision(2, 1));
  const damaged = createSampleMachine();
  const entry = decodeEntry(log[0]!) as ReplacementEntry;
  const document = revision(1, 0).document.replace('/r/1000', '/r/1x00');
  const replacement = {...entry.replacement, document};
  damaged.apply(1, encodeEntry({...entry, replacement}));
  // `any` is needed because an error of verror is not a native error.
  const error: unknown = t.throws(() => damaged.apply(2, log[1]!), {any: true});
  t.is((error as Failure).code, codes.documentDamaged);
});
