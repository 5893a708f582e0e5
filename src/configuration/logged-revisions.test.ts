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
  const routes = Array.from({length: routeCount}, (_, at) => {
    const prefix = at === 7 ? `/changed/${changed}` : `/r/${at}`;
    return putRoute(`route-${at}`, 'stock-desk', 'lookups', prefix);
  });
  const edits = [putService('stock-desk'), putPolicy('lookups'), ...routes];
  return edits.flatMap(edit => (edit.action === 'put' ? [edit.item] : []));
}

/** A revision of 2,400 routes and some 400 kB, of which `changed` changes one. */
function revision(number: number, base: number, changed = number): Replacement {
  const items = itemsOf(changed);
  const filler = 'x'.repeat(60);
  const document = JSON.stringify({base, items, filler, number}).replaceAll(
    '"methods"',
    `"${filler}":0,"methods"`,
  );
  return {revision: number, base, items, document};
}

function stage() {
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

// Links between failure domains carry little but configuration, and callers on
// thin links wait behind it: each change of one route sent the operator's whole
// text to each follower.
test('a change of one route is a small entry of the log', t => {
  const {put, log, machine} = stage();
  const first = revision(1, 0);
  t.true(first.document.length > 400_000);
  t.is(put(first), ok);
  t.is(put(revision(2, 1)), ok);
  t.true(log[1]!.length < 4_096, `${log[1]!.length} bytes`);
  t.is(machine.revision()!.document, revision(2, 1).document);
});

test('the first revision is packed in the log, and so is a snapshot', t => {
  const {put, log, machine} = stage();
  const first = revision(1, 0);
  put(first);
  t.true(log[0]!.length < first.document.length / 4);
  t.true(machine.snapshot().length < first.document.length / 4);
});

test('a follower that begins with a snapshot follows the differences after it', t => {
  const {put, log, machine} = stage();
  put(revision(1, 0));
  put(revision(2, 1));
  const other = createSampleMachine();
  other.restore(2, machine.snapshot());
  put(revision(3, 2));
  other.apply(3, log[2]!);
  t.deepEqual(other.revision(), machine.revision());
  t.is(other.digest(), machine.digest());
});

test('the next leader goes on from the differences of the last', t => {
  const {put, log, apply, machine} = stage();
  put(revision(1, 0));
  put(revision(2, 1));
  const next = createSampleMachine();
  log.forEach((entry, at) => next.apply(at + 1, entry));
  t.is(apply(next.prepareReplacement(revision(5, 2), 0)), ok);
  t.is(machine.revision()!.document, revision(5, 2).document);
});

test('of two operators who change one revision the second is refused', t => {
  const {apply, machine} = stage();
  apply(machine.prepareReplacement(revision(1, 0), 0));
  const left = machine.prepareReplacement(revision(2, 1), 0);
  const right = machine.prepareReplacement(revision(2, 1, 99), 0);
  t.is(apply(left), ok);
  t.is(apply(right), codes.conflict.number);
  t.is(machine.revision()!.document, revision(2, 1).document);
});

test('a resend of an older revision is answered as the first time', t => {
  const {put, machine} = stage();
  for (const number of [1, 2, 3]) put(revision(number, number - 1));
  t.is(put(revision(2, 1)), ok);
  t.is(put(revision(2, 1, 99)), codes.conflict.number);
  t.is(machine.revision()!.number, 3);
});

test('a log written with whole texts is read back', t => {
  const {put, log, machine} = stage();
  put(revision(1, 0));
  put(revision(2, 1));
  const old = createSampleMachine();
  log.forEach((bytes, at) => {
    const entry = decodeEntry(bytes) as ReplacementEntry;
    const {document} = revision(at + 1, at);
    const replacement = {...entry.replacement, document};
    old.apply(at + 1, encodeEntry({...entry, replacement}));
  });
  t.is(old.digest(), machine.digest());
});

// An operator reads back a text that nobody sent. The text in force was damaged
// at one process, and a difference was taken for a change of it.
test('a difference from another text than the one in force stops the process', t => {
  const {put, log} = stage();
  put(revision(1, 0));
  put(revision(2, 1));
  const damaged = createSampleMachine();
  const entry = decodeEntry(log[0]!) as ReplacementEntry;
  const document = revision(1, 0).document.replace('/r/1000', '/r/1x00');
  const replacement = {...entry.replacement, document};
  damaged.apply(1, encodeEntry({...entry, replacement}));
  // The failures of the error library are no native errors to the test runner.
  const error: unknown = t.throws(() => damaged.apply(2, log[1]!), {any: true});
  t.is((error as Failure).code, codes.documentDamaged);
});
