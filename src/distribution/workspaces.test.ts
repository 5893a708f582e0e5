import {Packr} from 'msgpackr';
import test from 'ava';
import type {Workspace} from '../configuration/configuration.js';
import {digestOfKey} from '../workspaces/key-digest.js';
import {buildCandidateState} from './candidate-state.js';
import {digestBytesOf, digestState} from './digest.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Push} from './messages.js';
import {unpackSection} from './section.js';
import {serviceOf, workspacesSection} from './section-name.js';
import {createSectionSource} from './section-source.js';
import {workspaceChanges} from './workspace-changes.js';

function makeWorkspace(at: number, rate = 5): Workspace {
  const keys = Array.from({length: 5}, (_, key) =>
    digestOfKey(`key-${at}-${key}`),
  );
  return {name: `w-${at}`, keys: keys.sort(), quota: {rate, burst: 10}};
}

const makeWorkspaces = (count: number) =>
  Array.from({length: count}, (_, at) => makeWorkspace(at));

const sorted = (workspaces: ReadonlyMap<string, Workspace>) =>
  [...workspaces.values()].sort((left, right) =>
    left.name < right.name ? -1 : 1,
  );

/** Records the pushes to a process from now on. */
function recordPushes(
  cluster: ReturnType<typeof createTestCluster>,
  receiver: string,
): Push[] {
  const pushes: Push[] = [];
  cluster.network.decide((_source, target, message) => {
    const {body} = message as {body: Push};
    if (target === receiver && body.kind === 'push') pushes.push(body);
    return 'deliver';
  });
  return pushes;
}

// Guards against a node that refuses all keys, or serves revoked ones, because
// it subscribes to few services.
test('workspaces reach nodes whatever services they subscribe to, also through a relay', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({
    put: ['stock-desk', 'crewbook'],
    putWorkspaces: makeWorkspaces(200),
  });
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  const nodes = [
    cluster.node('node-1', [control.address], {services: ['crewbook']}),
    cluster.node('node-2', [relay.address], {services: ['crewbook']}),
    cluster.node('node-3', [relay.address], {services: []}),
    cluster.node('node-4', [relay.address]),
  ];
  const check = (hint: string) => {
    for (const {subscriber} of nodes) {
      const {workspaces} = subscriber.current()!;
      t.deepEqual(
        sorted(workspaces),
        sorted(operator.current().workspaces),
        hint,
      );
      t.false(subscriber.current()!.services.has(workspacesSection));
    }
  };
  await cluster.timers.advanceAsync(5_000);
  check('first state');
  t.deepEqual(
    nodes.map(({subscriber}) => subscriber.current()!.services.size),
    [1, 1, 0, 2],
  );
  operator.accept({putWorkspaces: [makeWorkspace(7, 9), makeWorkspace(500)]});
  await cluster.timers.advanceAsync(200);
  check('changed');
  const names = makeWorkspaces(150).map(({name}) => name);
  operator.accept({removeWorkspaces: names});
  await cluster.timers.advanceAsync(200);
  check('most removed, with fewer sections');
  nodes[0]!.subscriber.subscribe(['stock-desk']);
  await cluster.timers.advanceAsync(200);
  check('after another subscription');
  operator.accept({
    removeWorkspaces: [...operator.current().workspaces.keys()],
  });
  await cluster.timers.advanceAsync(200);
  check('none left');
});

// Guards against a push of all workspaces, 3 MB, for a change of one.
test('a change of one workspace of 10,000 sends one section', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook'], putWorkspaces: makeWorkspaces(10_000)});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  const node = cluster.node('node-1', [relay.address], {
    services: ['crewbook'],
  });
  await cluster.timers.advanceAsync(5_000);
  t.is(node.subscriber.current()?.workspaces.size, 10_000);
  const pushes = recordPushes(cluster, 'node-1');
  operator.accept({putWorkspaces: [makeWorkspace(4_711, 9)]});
  await cluster.timers.advanceAsync(200);
  t.deepEqual(
    node.subscriber.current()!.workspaces.get('w-4711'),
    makeWorkspace(4_711, 9),
  );
  const sections = pushes.flatMap(push => push.sections ?? []);
  t.is(sections.length, 1);
  t.is(serviceOf(sections[0]!.name), workspacesSection);
  const {length} = sections[0]!.bytes;
  t.true(length < 16_000, `${length} bytes`);
  pushes.length = 0;
  operator.accept({put: ['stock-desk']});
  await cluster.timers.advanceAsync(200);
  t.deepEqual(
    pushes.flatMap(push => push.sections ?? []),
    [],
  );
});

// Guards against the cost of packing 10,000 workspaces for each change of a
// route, which would block a small control VM for longer than an election
// timeout.
test('unchanged sections of workspaces are not packed again', t => {
  const operator = createOperator();
  operator.accept({put: ['crewbook'], putWorkspaces: makeWorkspaces(500)});
  const source = createSectionSource(operator);
  const before = source.current()!.sections;
  operator.accept({putWorkspaces: [makeWorkspace(7, 9)]});
  const after = source.current()!.sections;
  const changed = [...after.keys()].filter(
    name => after.get(name) !== before.get(name),
  );
  t.is(changed.length, 1);
});

// Guards against an index of keys that is built again for each change, or that
// keeps the keys of removed workspaces.
test('the changes between two states are found', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook'], putWorkspaces: makeWorkspaces(300)});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address], {services: []});
  await cluster.timers.advanceAsync(100);
  const steps = [
    {putWorkspaces: [makeWorkspace(7, 9)]},
    {putWorkspaces: [makeWorkspace(1_000)], removeWorkspaces: ['w-8', 'w-9']},
    {putWorkspaces: makeWorkspaces(900).slice(300)},
    {removeWorkspaces: makeWorkspaces(890).map(({name}) => name)},
    {put: ['crewbook']},
    {removeWorkspaces: [...makeWorkspaces(1_001)].map(({name}) => name)},
  ];
  const copy = new Map<string, Workspace>();
  let before: ReadonlyMap<string, Workspace> = new Map();
  const follow = () => {
    const after = node.subscriber.current()!.workspaces;
    const changes = workspaceChanges(before, after);
    for (const change of changes) {
      const name = (change.before ?? change.after)!.name;
      t.is(copy.get(name), change.before);
      if (change.after === undefined) copy.delete(name);
      else copy.set(name, change.after);
    }
    t.deepEqual(sorted(copy), sorted(after));
    before = after;
    return changes.length;
  };
  const counts = [follow()];
  for (const step of steps) {
    operator.accept(step);
    await cluster.timers.advanceAsync(100);
    counts.push(follow());
  }
  t.deepEqual(counts, [300, 1, 3, 600, 888, 0, 11]);
});

// Guards against a node that joins all workspaces for each change of a route.
test('a change elsewhere leaves the map of workspaces the same', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook'], putWorkspaces: makeWorkspaces(100)});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address], {
    services: ['crewbook'],
  });
  await cluster.timers.advanceAsync(100);
  const {workspaces, version} = node.subscriber.current()!;
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(100);
  t.true(node.subscriber.current()!.version > version);
  t.is(node.subscriber.current()!.workspaces, workspaces);
  operator.accept({removeWorkspaces: ['w-1']});
  await cluster.timers.advanceAsync(100);
  t.is(node.subscriber.current()!.workspaces.size, 99);
});

const packr = new Packr({useRecords: false, variableMapSize: true});

/** A section as releases without workspaces pack it. */
const earlierSection = {
  drains: [],
  policies: [],
  routes: [],
  service: {name: 'crewbook', slowStart: 0},
};

// Guards against a process that fails on the sections of a home of an earlier
// release, which knows no sections of workspaces and sends none.
test('sections of an earlier release give a state without workspaces, and later ones add them', t => {
  const bytes = packr.pack(earlierSection);
  const digest = digestState([['crewbook', digestBytesOf(bytes)]]);
  const interest = ['crewbook', workspacesSection];
  const push: Push = {
    kind: 'push',
    subscription: 1,
    version: 1,
    sections: [{name: 'crewbook', bytes}],
    whole: true,
    digest,
  };
  const held = buildCandidateState(undefined, push, interest);
  if (!held.ok) return t.fail(held.message);
  t.is(held.value.configuration.workspaces.size, 0);
  t.deepEqual([...held.value.configuration.services.keys()], ['crewbook']);

  const operator = createOperator();
  operator.accept({putWorkspaces: makeWorkspaces(2)});
  const state = createSectionSource(operator).current()!;
  const {packed, digest: added} = state.sections.get(workspacesSection)!;
  const next = buildCandidateState(
    held.value,
    {
      kind: 'push',
      subscription: 1,
      version: 2,
      sections: [packed],
      digest: digestState([
        ['crewbook', digestBytesOf(bytes)],
        [workspacesSection, added],
      ]),
    },
    interest,
  );
  if (!next.ok) return t.fail(next.message);
  t.is(next.value.configuration.workspaces.size, 2);
});

// Guards against a relay or node of an earlier release that fails on a section
// of workspaces: it reads the lists that each section of a service has.
test('a section of workspaces has the lists of a section of a service', t => {
  const operator = createOperator();
  operator.accept({putWorkspaces: makeWorkspaces(2)});
  const state = createSectionSource(operator).current()!;
  t.deepEqual([...state.sections.keys()], [workspacesSection]);
  const {packed} = state.sections.get(workspacesSection)!;
  const section = unpackSection(packed);
  if (!section.ok) return t.fail(section.message);
  const {workspaces, ...earlier} = section.value;
  t.is(workspaces?.length, 2);
  t.deepEqual(earlier, {
    ...earlierSection,
    service: {name: workspacesSection, slowStart: 0},
  });
});

// Guards against bytes on the wire that differ although nothing is configured.
test('without workspaces no section and no field is added', t => {
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const state = createSectionSource(operator).current()!;
  t.deepEqual([...state.sections.keys()], ['crewbook']);
  const unpacked = unpackSection(state.sections.get('crewbook')!.packed);
  if (!unpacked.ok) return t.fail(unpacked.message);
  t.deepEqual(Object.keys(unpacked.value), [
    'drains',
    'policies',
    'routes',
    'service',
  ]);
});
