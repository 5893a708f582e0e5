import test from 'ava';
import {digestOfKey} from '../workspaces/key-digest.js';
import {configurationCodes as codes} from './codes.js';
import type {Workspace} from './configuration.js';
import {
  createLoggedMachine,
  createSampleMachine,
  putWorkspace,
} from './fakes/sample.js';
import {createItemStore} from './item-store.js';
import {decodeAnswer, decodeEntry, encodeEntry} from './log-entry.js';
import type {Edit, Replacement} from './messages.js';
import {commandSchema} from './schemas.js';

const removeWorkspace = (name: string): Edit => ({
  action: 'remove',
  kind: 'workspace',
  name,
});

function keysOf(workspaces: ReadonlyMap<string, Workspace>) {
  return [...workspaces.values()]
    .map(({name, keys}) => [name, keys] as const)
    .sort();
}

// Guards against a key that gives access to the quota and priority of another
// workspace.
test('a key held by two workspaces is refused and changes nothing', t => {
  const {machine, edit} = createLoggedMachine();
  edit([putWorkspace('millers', ['a', 'b'])]);
  const before = machine.current();
  const answer = edit([putWorkspace('bakers', ['c', 'b'])]);
  t.is(answer.code, codes.keyShared.number);
  const short = Buffer.from(digestOfKey('b'), 'base64url').toString('hex');
  t.is(
    answer.message,
    'workspaces bakers and millers hold the same key, whose digest starts with ' +
      short.slice(0, 8),
  );
  t.deepEqual(keysOf(machine.current().workspaces), [
    ['millers', ['a', 'b'].map(digestOfKey).sort()],
  ]);
  t.is(machine.current(), before);
  const both = [putWorkspace('x', ['d']), putWorkspace('y', ['d'])];
  t.is(edit(both).code, codes.keyShared.number);
  t.is(edit([putWorkspace('bakers', ['c', 'd'])]).code, 1000);
});

test('workspaces swap keys within one command', t => {
  const {machine, edit} = createLoggedMachine();
  edit([putWorkspace('millers', ['a']), putWorkspace('bakers', ['b'])]);
  const swap = [putWorkspace('millers', ['b']), putWorkspace('bakers', ['a'])];
  t.is(edit(swap).code, 1000);
  t.deepEqual(keysOf(machine.current().workspaces), [
    ['bakers', [digestOfKey('a')]],
    ['millers', [digestOfKey('b')]],
  ]);
  t.is(edit([putWorkspace('coopers', ['a'])]).code, codes.keyShared.number);
  const move = [removeWorkspace('bakers'), putWorkspace('coopers', ['a'])];
  t.is(edit(move).code, 1000);
});

// Guards against an index that keeps the keys of refused or removed workspaces
// and then refuses the key elsewhere.
test('keys of refused and of removed workspaces are free', t => {
  const {edit} = createLoggedMachine({keys: 3});
  edit([putWorkspace('millers', ['a'])]);
  edit([putWorkspace('bakers', ['b']), putWorkspace('coopers', ['a'])]);
  t.is(edit([putWorkspace('weavers', ['b'])]).code, 1000);
  t.is(edit([removeWorkspace('millers')]).code, 1000);
  t.is(edit([putWorkspace('weavers', ['a', 'c', 'd'])]).code, 1000);
});

test('the numbers of workspaces and keys are bounded', t => {
  const {edit} = createLoggedMachine({workspaces: 2, keys: 3});
  edit([putWorkspace('a', ['1', '2']), putWorkspace('b', ['3'])]);
  const third = edit([putWorkspace('c', [])]);
  t.is(third.code, codes.limitExceeded.number);
  t.regex(third.message, /more than 2 workspaces; see limits\.workspaces/);
  const fourth = edit([putWorkspace('b', ['3', '4'])]);
  t.is(fourth.code, codes.limitExceeded.number);
  t.is(
    fourth.message,
    'there would be 4 keys of workspaces, over limits.keys of 3',
  );
  const exchange = [putWorkspace('b', ['3', '4']), putWorkspace('a', ['1'])];
  t.is(edit(exchange).code, 1000);
});

// Guards against a group that can't remove keys after its limit was lowered.
test('above a lowered limit keys can be removed and replaced', t => {
  const {machine, edit} = createLoggedMachine();
  edit([putWorkspace('a', ['1', '2', '3'])]);
  const strict = createSampleMachine({keys: 1});
  strict.restore(1, machine.snapshot());
  let index = 1;
  const send = (edits: readonly Edit[]) => {
    const command = {operator: 'daulet', sequence: ++index, edits};
    return decodeAnswer(strict.apply(index, strict.prepare(command, 0))).code;
  };
  t.is(send([putWorkspace('a', ['1', '2'])]), 1000);
  t.is(send([putWorkspace('a', ['1', '4'])]), 1000);
  t.is(send([putWorkspace('a', ['1', '4', '5'])]), codes.limitExceeded.number);
});

// Guards against a log that can't be read after an upgrade.
test('an entry without bounds for workspaces and keys is applied', t => {
  const {machine} = createLoggedMachine();
  const edits: Edit[] = [
    {action: 'put', item: {kind: 'service', value: {name: 's', slowStart: 0}}},
  ];
  const command = {operator: 'amina', sequence: 1, edits};
  const entry = decodeEntry(machine.prepare(command, 0))!;
  t.is(entry.bounds.keys, 50_000);
  const {workspaces, keys, ...earlier} = entry.bounds;
  t.deepEqual([workspaces, keys], [10_000, 50_000]);
  const bytes = encodeEntry({...entry, bounds: earlier} as typeof entry);
  t.is(decodeAnswer(machine.apply(1, bytes)).code, 1000);
});

test('a snapshot contains the workspaces and the index of their keys', t => {
  const {machine, edit} = createLoggedMachine();
  edit([putWorkspace('millers', ['a', 'b'], {rate: 50, burst: 100})]);
  const other = createSampleMachine();
  other.restore(1, machine.snapshot());
  t.is(other.digest(), machine.digest());
  t.deepEqual(other.current().workspaces, machine.current().workspaces);
  const edits = [putWorkspace('bakers', ['a'])];
  const command = {operator: 'daulet', sequence: 1, edits};
  const answer = decodeAnswer(other.apply(2, other.prepare(command, 0)));
  t.is(answer.code, codes.keyShared.number);
});

test('revisions add, move and remove keys', t => {
  const machine = createSampleMachine();
  let index = 0;
  const put = (revision: number, edits: readonly Edit[]) => {
    const items = edits.flatMap(edit =>
      edit.action === 'put' ? [edit.item] : [],
    );
    const base = machine.revision()?.number ?? 0;
    const document = `revision ${revision}`;
    const replacement: Replacement = {revision, base, items, document};
    const entry = machine.prepareReplacement(replacement, 0);
    return decodeAnswer(machine.apply(++index, entry)).code;
  };
  t.is(put(1, [putWorkspace('a', ['1', '2']), putWorkspace('b', ['3'])]), 1000);
  t.is(put(2, [putWorkspace('a', ['3']), putWorkspace('b', ['1', '2'])]), 1000);
  const {workspaces} = machine.current();
  t.deepEqual(workspaces.get('a')!.keys, [digestOfKey('3')]);
  t.is(
    put(3, [putWorkspace('a', ['3']), putWorkspace('c', ['3'])]),
    codes.keyShared.number,
  );
  t.is(machine.current().workspaces, workspaces, 'nothing changes');
  t.is(machine.revision()!.number, 2);
  t.is(put(4, []), 1000);
  t.is(machine.current().workspaces.size, 0);
});

// Guards against a change whose log entry grows with the number of workspaces.
test('a revision that changes one workspace logs only that one', t => {
  const machine = createSampleMachine();
  const count = 200;
  const items = (rate: number) =>
    Array.from({length: count}, (_, at) => {
      const quota = {rate: at === 7 ? rate : 1, burst: 1};
      const edit = putWorkspace(`w-${at}`, [`key-${at}`], quota);
      return edit.action === 'put' ? [edit.item] : [];
    }).flat();
  const make = (revision: number, base: number): Replacement => ({
    revision,
    base,
    items: items(revision),
    document: JSON.stringify(items(revision)),
  });
  const first = machine.prepareReplacement(make(1, 0), 0);
  machine.apply(1, first);
  const second = machine.prepareReplacement(make(2, 1), 0);
  const entry = decodeEntry(second);
  if (entry === undefined || !('replacement' in entry)) return t.fail();
  t.is(entry.replacement.edits.length, 1);
  t.true(second.length < 1_000, `${second.length} bytes`);
});

// Guards against the check reading all workspaces: with 10,000 of them, each
// edit would block a small control VM.
test('the holders of a key are found by an index', t => {
  const store = createItemStore();
  const key = digestOfKey('a');
  const put = (name: string, keys: readonly string[]) =>
    store.replace({kind: 'workspace', name}, {name, keys});
  put('millers', [key]);
  put('bakers', [key, digestOfKey('b')]);
  t.deepEqual(store.holdersOfKey(key), ['millers', 'bakers']);
  t.is(store.keyCount(), 2);
  put('millers', []);
  t.deepEqual(store.holdersOfKey(key), ['bakers']);
  store.replace({kind: 'workspace', name: 'bakers'}, undefined);
  t.deepEqual(store.holdersOfKey(key), []);
  t.is(store.keyCount(), 0);
});

test('each malformed workspace is refused by the schema', t => {
  const key = digestOfKey('a');
  const isAccepted = (value: object) =>
    commandSchema.safeParse({
      operator: 'amina',
      sequence: 1,
      edits: [{action: 'put', item: {kind: 'workspace', value}}],
    }).success;
  t.true(isAccepted({name: 'm', keys: []}));
  const valid = {name: 'm', keys: [key], quota: {rate: 0.5, burst: 0}};
  t.true(isAccepted(valid));
  for (const change of [
    {name: ''},
    {name: 'Millers'},
    {keys: ['not a digest']},
    {keys: [key, key]},
    {keys: undefined},
    {quota: {rate: 0, burst: 0}},
    {quota: {rate: -1, burst: 0}},
    {quota: {rate: NaN, burst: 0}},
    {quota: {rate: Infinity, burst: 0}},
    {quota: {rate: '5', burst: 0}},
    {quota: {rate: 5, burst: -1}},
    {quota: {rate: 5, burst: Infinity}},
    {quota: {rate: 5}},
    {quota: {burst: 5}},
    {priority: 'high'},
    {weight: 1},
  ]) {
    t.false(isAccepted({...valid, ...change}), JSON.stringify(change));
  }
});

test('the history names workspaces and shows neither keys nor digests', t => {
  const {machine, edit} = createLoggedMachine();
  edit([putWorkspace('millers', ['s3cret'])]);
  edit([removeWorkspace('millers')]);
  t.deepEqual(
    machine.history().map(({edits}) => edits),
    [['remove workspace millers'], ['put workspace millers']],
  );
});
