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

/**
 * Creates a machine with a service of many routes, and the sections of its
 * state.
 */
function createLargeService() {
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
  const {edits: maxEdits} = defaults.limits;
  for (let at = 0; at < routeCount; at += maxEdits) {
    const count = Math.min(maxEdits, routeCount - at);
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

// Guards against a node that applies a version a second after the others. If a
// change of one route sent each node the whole section of its service, 87 kB
// and more with 800 routes, the pushes of many changes would fill a third of
// the link of a node, and control would be busy with packing and sending them.
test('the change of one route of many sends few bytes to a node', t => {
  const {put, state} = createLargeService();
  const next = put(putRoute('r-7', 'records', 'lookups', '/elsewhere'));
  const bytes = bytesOfChanged(state, next);
  t.true(bytes > 0 && bytes < 16_000, `${bytes} bytes`);
});

// Guards against a needless election right after the first configuration of a
// group. If 2,400 routes are applied and their sections packed in one turn,
// heartbeats that arrive meanwhile are read only after the election timeout.
test('a change is applied in one turn and packed in a later one', async t => {
  const machine = createSampleMachine();
  const source = deferNotifications(createSectionSource(machine));
  let notifications = 0;
  source.onChange(() => notifications++);
  const edits = [putService('records')];
  const command = {operator: 'amina', sequence: 1, edits};
  machine.apply(1, machine.prepare(command, 0));
  t.is(notifications, 0);
  await nextTurn();
  await nextTurn();
  t.is(notifications, 1);
  t.is(source.current()!.version, 1);
});
