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

test('a change makes the version of its log index, and no change makes none', t => {
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

test('a configuration in hand does not change under its holder', t => {
  const {machine, edit} = createLoggedMachine();
  edit(whole);
  const before = machine.current();
  edit([putService('parts-files')]);
  t.is(before.services.size, 1);
  t.is(machine.current().services.size, 2);
  t.is(machine.current().routes, before.routes);
});

// The operator sees a change refused with the name that is missing. The change
// is checked against the whole state that it would lead to, since a route whose
// service is gone would send its callers nowhere on every node at once. Without
// the check the change is accepted and the route is left dangling.
test('a route never points at a missing service or policy', t => {
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

test('what is still referred to is not removed, unless in the same change', t => {
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

test('a change with one bad edit changes nothing at all', t => {
  const {edit, machine} = createLoggedMachine();
  edit(whole);
  const digest = machine.current();
  const refused = edit([
    putService('stock-desk', 5000),
    {action: 'remove', kind: 'route', name: 'stock'},
    {action: 'remove', kind: 'route', name: 'gone'},
  ]);
  t.is(refused.code, codes.notFound.number);
  t.regex(refused.message, /route gone/);
  t.deepEqual(machine.current(), digest);
  t.is(edit([putRoute('again', 'stock-desk', 'lookups', '/stock')]).code, 2004);
});

test('two routes never take the same requests', t => {
  const {edit} = createLoggedMachine();
  edit(whole);
  const put = (name: string, methods: string[]) =>
    edit([putRoute(name, 'stock-desk', 'lookups', '/stock', methods)]).code;
  t.is(put('all', []), codes.routeOverlap.number);
  t.is(put('reads', ['GET', 'HEAD']), 1000, 'own methods go before all');
  t.is(put('heads', ['HEAD']), codes.routeOverlap.number);
  t.is(put('writes', ['POST']), 1000);
});

test('counts are bounded by what the entry carries', t => {
  const {edit} = createLoggedMachine({services: 2});
  t.is(edit([putService('a'), putService('b')]).code, 1000);
  const refused = edit([putService('c')]);
  t.is(refused.code, codes.limitExceeded.number);
  t.regex(refused.message, /limits\.services/);
  t.is(edit([putService('b', 5000)]).code, 1000, 'a put in place is no growth');
});

// Two control processes are restarted with a larger limit, one after the
// other. If each applied entries under its own limit, the same log would give
// one the item and refuse it to the other, and their states would part for
// good. The proposer's bounds travel in the entry, so both do the same.
test('processes with different limits stay equal', t => {
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

test('bytes that are no entry change nothing and stop nothing', t => {
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

test('history keeps the last changes, newest first', t => {
  const {machine, edit} = createLoggedMachine({history: 2});
  edit(whole, 'amina');
  edit([putService('a')], 'daulet');
  edit([putService('b')], 'daulet');
  const told = machine.history().map(change => change.edits);
  t.deepEqual(told, [['put service b'], ['put service a']]);
  t.is(machine.history()[0]!.operator, 'daulet');
});

test('observers hear of each change and of a restored snapshot', t => {
  const {machine, edit} = createLoggedMachine();
  const heard: number[] = [];
  machine.onChange(version => heard.push(version));
  edit(whole);
  edit(whole);
  machine.restore(9, machine.snapshot());
  t.deepEqual(heard, [1, 1]);
});
