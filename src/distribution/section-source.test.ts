import test from 'ava';
import {
  createSampleMachine,
  putPolicy,
  putRoute,
  putService,
} from '../configuration/fakes/sample.js';
import {defaults} from '../settings/defaults.js';
import {nextTurn} from '../time/turn.js';
import {createSectionSource, deferNotifications} from './section-source.js';
import type {SectionState} from './section-source.js';

const routeCount = 1_700;

/** A machine with a service of many routes, and the sections of its state. */
function createTrial() {
  const machine = createSampleMachine();
  const source = createSectionSource(machine);
  let index = 0;

  function put(...edits: Parameters<typeof propose>[0]) {
    return propose(edits);
  }

  function propose(edits: Array<ReturnType<typeof putRoute>>): SectionState {
    index++;
    const command = {operator: 'amina', sequence: index, edits};
    machine.apply(index, machine.prepare(command, 0));
    return source.current()!;
  }

  put(putService('records'), putPolicy('lookups'));
  const {edits: most} = defaults.limits;
  for (let at = 0; at < routeCount; at += most) {
    const count = Math.min(most, routeCount - at);
    const numbers = Array.from({length: count}, (_, more) => at + more);
    put(...numbers.map(one => putRoute(`r-${one}`, 'records', 'lookups')));
  }
  return {put, state: source.current()!};
}

function bytesOfChanged(before: SectionState, after: SectionState): number {
  let bytes = 0;
  for (const [name, {packed, digest}] of after.sections) {
    if (before.sections.get(name)?.digest === digest) continue;
    bytes += packed.bytes.length;
  }
  return bytes;
}

// A node handles by an old version a second after the others. A change of one
// route sent each node its service's whole section, 87 kB and more where a
// service has 800 routes: in a storm of changes the pushes filled a third of a
// node's link, and control spent its time on packing and sending them.
test('a change of one route costs a node no more bytes where there are many', t => {
  const {put, state} = createTrial();
  const next = put(putRoute('r-7', 'records', 'lookups', '/elsewhere'));
  const bytes = bytesOfChanged(state, next);
  t.true(bytes > 0 && bytes < 16_000, `${bytes} bytes`);
});

// The leader of a group that has just got its first configuration is taken for
// dead. It applied 2,400 routes and packed their sections in one turn; beats that
// lay in its sockets meanwhile were read after the election.
test('a change is applied in one turn and packed in the next', async t => {
  const machine = createSampleMachine();
  const source = deferNotifications(createSectionSource(machine));
  let told = 0;
  source.onChange(() => told++);
  const edits = [putService('records')];
  const command = {operator: 'amina', sequence: 1, edits};
  machine.apply(1, machine.prepare(command, 0));
  t.is(told, 0);
  await nextTurn();
  await nextTurn();
  t.is(told, 1);
  t.is(source.current()!.version, 1);
});
