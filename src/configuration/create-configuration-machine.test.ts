import test from 'ava';
import {commonCodes} from '../result/codes.js';
import {configurationCodes as codes} from './codes.js';
import {
  createLoggedMachine,
  createSampleMachine,
  putDrain,
  putPolicy,
  putRoute,
  putService,
} from './fakes/sample.js';
import {decodeAnswer} from './log-entry.js';

const whole = [
  putService('stock-desk'),
  putPolicy('lookups'),
  putRoute('stock', 'stock-desk', 'lookups'),
];

test('the version is the log index of the last change that had an effect', t => {
  const {machine, edit} = createLoggedMachine();
  t.is(edit(whole).version, 1);
  const again = edit(whole);
  t.is(again.code, commonCodes.ok.number);
  t.is(again.version, 1);
  t.is(edit([putService('parts-files')]).version, 3);
  t.is(machine.current().version, 3);
  t.deepEqual([...machine.current().services.keys()].sort(), [
    'parts-files',
    'stock-desk',
  ]);
});

test('a configuration that was read does not change later', t => {
  const {machine, edit} = createLoggedMachine();
  edit(whole);
  const before = machine.current();
  edit([putService('parts-files')]);
  t.is(before.services.size, 1);
  t.is(machine.current().services.size, 2);
  t.is(machine.current().routes, before.routes);
});

// Failure: a route refers to a service that does not exist, so that all nodes
// reject its requests at once. Each change is checked in the whole state that
// would result, and a refusal names the missing item. Without the check the
// change is accepted.
test('a route never refers to a missing service or policy', t => {
  const missingService = [putRoute('stock', 'stock-desk', 'lookups')];
  const {edit, machine} = createLoggedMachine();
  edit([putPolicy('lookups')]);
  const refused = edit(missingService);
  t.is(refused.code, codes.missingReference.number);
  t.regex(refused.message, /service stock-desk/);
  t.is(machine.current().routes.size, 0);
  t.is(edit([putService('stock-desk'), ...missingService]).code, 1000);
  t.regex(
    edit([putRoute('more', 'stock-desk', 'gone')]).message,
    /policy gone/,
  );

  const without = createLoggedMachine({}, {validation: false});
  t.is(without.edit(missingService).code, 1000);
  const [route] = without.machine.current().routes.values();
  t.false(without.machine.current().services.has(route!.service));
});

test('an item with references is only removed together with them', t => {
  const {edit, machine} = createLoggedMachine();
  edit([...whole, putDrain('stock-desk-1', 'stock-desk')]);
  const removal = {action: 'remove', kind: 'service', name: 'stock-desk'};
  const refused = edit([removal as never]);
  t.is(refused.code, codes.stillReferenced.number);
  t.regex(refused.message, /drain stock-desk-1/);
  const removals = ['service stock-desk', 'route stock', 'drain stock-desk-1'];
  const all = removals.map(text => {
    const [kind, name] = text.split(' ');
    return {action: 'remove', kind, name} as never;
  });
  t.is(edit(all).code, 1000);
  t.is(machine.current().services.size, 0);
});

test('a change with one invalid edit has no effect', t => {
  const {edit, machine} = createLoggedMachine();
  edit(whole);
  const before = machine.current();
  const refused = edit([
    putService('stock-desk', 5000),
    {action: 'remove', kind: 'route', name: 'stock'},
    {action: 'remove', kind: 'route', name: 'gone'},
  ]);
  t.is(refused.code, codes.notFound.number);
  t.regex(refused.message, /route gone/);
  t.deepEqual(machine.current(), before);
  t.is(edit([putRoute('again', 'stock-desk', 'lookups', '/stock')]).code, 2004);
});

test('two routes never match the same requests', t => {
  const {edit} = createLoggedMachine();
  edit(whole);
  const put = (name: string, methods: string[]) =>
    edit([putRoute(name, 'stock-desk', 'lookups', '/stock', methods)]).code;
  t.is(put('all', []), codes.routeOverlap.number);
  t.is(
    put('reads', ['GET', 'HEAD']),
    1000,
    'listed methods precede all methods',
  );
  t.is(put('heads', ['HEAD']), codes.routeOverlap.number);
  t.is(put('writes', ['POST']), 1000);
});

test('the bounds of the entry limit the number of items', t => {
  const {edit} = createLoggedMachine({services: 2});
  t.is(edit([putService('a'), putService('b')]).code, 1000);
  const refused = edit([putService('c')]);
  t.is(refused.code, codes.limitExceeded.number);
  t.regex(refused.message, /limits\.services/);
  t.is(
    edit([putService('b', 5000)]).code,
    1000,
    'a replaced item does not increase the count',
  );
});

// Failure: the states of two control processes diverge permanently. They are
// restarted with a larger limit one after the other, and if each applied
// entries with its own limit, one would accept an item that the other refuses.
// Each entry contains the bounds of its proposer, so both apply the same ones.
test('processes with different limits have the same state', t => {
  const large = createSampleMachine({services: 100, answers: 8, history: 9});
  const small = createSampleMachine({services: 1, answers: 1, history: 1});
  for (let index = 1; index <= 20; index++) {
    const proposer = index % 3 === 0 ? small : large;
    const edits = [putService(`s${index % 5}`, index)];
    const command = {operator: 'amina', sequence: index, edits};
    const entry = proposer.prepare(command, index);
    t.deepEqual(large.apply(index, entry), small.apply(index, entry));
    t.is(large.digest(), small.digest());
  }
});

test('invalid log entries change nothing and do not stop the process', t => {
  const {machine, edit} = createLoggedMachine();
  edit(whole);
  const before = machine.digest();
  const entries = [new Uint8Array(), Buffer.from('x'), Buffer.from([0xc1])];
  for (const bytes of entries) {
    const answer = decodeAnswer(machine.apply(7, bytes));
    t.is(answer.code, codes.invalidEntry.number);
  }
  t.is(machine.digest(), before);
});

test('the history contains the last changes, newest first', t => {
  const {machine, edit} = createLoggedMachine({history: 2});
  edit(whole, 'amina');
  edit([putService('a')], 'daulet');
  edit([putService('b')], 'daulet');
  const histories = machine.history().map(change => change.edits);
  t.deepEqual(histories, [['put service b'], ['put service a']]);
  t.is(machine.history()[0]!.operator, 'daulet');
});

test('observers are notified of each change and of a restored snapshot', t => {
  const {machine, edit} = createLoggedMachine();
  const observed: number[] = [];
  machine.onChange(version => observed.push(version));
  edit(whole);
  edit(whole);
  machine.restore(9, machine.snapshot());
  t.deepEqual(observed, [1, 1]);
});
