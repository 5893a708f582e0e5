import test from 'ava';
import type {
  Configuration,
  Route,
  Quarantine,
  Rollout,
} from '../configuration/configuration.js';
import {buildCandidateState} from './candidate-state.js';
import type {HeldState} from './candidate-state.js';
import {serviceOf} from './section-name.js';
import {createSectionSource} from './section-source.js';
import type {SectionState} from './section-source.js';
import {
  coveredSections,
  digestCovered,
  selectCoveredNames,
  makePush,
} from './sync-plan.js';

function makeRoute(name: string, service: string): Route {
  return {name, prefix: `/${name}`, methods: [], service, policy: 'lookups'};
}

const rollout: Rollout = {
  name: 'records',
  stable: ['v1'],
  order: {target: 'v2', duration: 12_000, number: 1},
  phase: 'running',
  elapsed: 500,
  share: 0.01,
  routeShares: [{route: 'records', share: 0.2}],
  spread: 2,
  offset: 0,
  reason: 'ordered',
};

const quarantine: Quarantine = {
  name: 'a'.repeat(32),
  service: 'records',
  head: 'b'.repeat(32),
  request: 'GET /records/7',
  state: 'held',
  since: 1,
  ended: ['r-1/1', 'r-2/1', 'r-3/1'],
  trials: 0,
};

/** Returns a configuration of a service with many routes and one with few. */
function makeConfiguration(version: number, count: number): Configuration {
  const records = Array.from({length: count}, (_, at) =>
    makeRoute(`r-${at}`, 'records'),
  );
  const routes = [...records, makeRoute('upload', 'uploads')];
  const services = ['records', 'uploads'].map(name => ({name, slowStart: 0}));
  const policy = {
    name: 'lookups',
    priority: 'normal',
    deadline: 250,
    attempts: 1,
    repeatability: 'once',
    bodyLimit: 1024,
    objective: {target: 0.99, latency: 250},
  } as const;
  return {
    version,
    services: new Map(services.map(service => [service.name, service])),
    routes: new Map(routes.map(route => [route.name, route])),
    policies: new Map([[policy.name, policy]]),
    workspaces: new Map(),
    drains: new Map([['r-1', {name: 'r-1', service: 'records'}]]),
    quarantines: new Map([[quarantine.name, quarantine]]),
    rollouts: new Map([[rollout.name, rollout]]),
  };
}

function stateOf(configuration: Configuration): SectionState {
  const source = createSectionSource({
    current: () => configuration,
    onChange: () => {},
  });
  return source.current()!;
}

function pushTo(
  state: SectionState,
  services: readonly string[] | 'all',
  names: Iterable<string>,
  isWhole: boolean,
) {
  return makePush(state, 1, digestCovered(state, services), names, isWhole);
}

function applyPush(
  held: HeldState | undefined,
  push: ReturnType<typeof pushTo>,
  services: readonly string[] | 'all',
): HeldState {
  const built = buildCandidateState(held, push, services);
  if (!built.ok) throw new Error(built.message);
  return built.value;
}

const namesCovered = (state: SectionState, services: readonly string[]) =>
  [...coveredSections(state, services)].map(([name]) => name);

test('a service with many routes is joined again from its parts', t => {
  const configuration = makeConfiguration(1, 500);
  const state = stateOf(configuration);
  t.true(state.sections.size > 2);
  const held = applyPush(
    undefined,
    pushTo(state, 'all', state.sections.keys(), true),
    'all',
  );
  const sorted = (routes: Configuration['routes']) =>
    [...routes.values()].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
  t.deepEqual(sorted(held.configuration.routes), sorted(configuration.routes));
  t.deepEqual(held.configuration.drains, configuration.drains);
  t.deepEqual(held.configuration.quarantines, configuration.quarantines);
  t.deepEqual(held.configuration.rollouts, configuration.rollouts);
});

test('an interest in a service covers all its parts and no other service', t => {
  const state = stateOf(makeConfiguration(1, 500));
  const names = namesCovered(state, ['records']);
  t.is(names.length, state.sections.size - 1);
  t.true(names.every(name => serviceOf(name) === 'records'));
  const changed = new Set(state.sections.keys());
  t.deepEqual(selectCoveredNames(changed, ['uploads']), ['uploads']);
});

// Guards against routes that are kept twice or after their removal. A service
// grows beyond its number of parts and later shrinks, so that routes move
// between parts; a part that is not removed would still contain them.
test('a node has the right routes after a service changes its number of parts', t => {
  let held: HeldState | undefined;
  for (const [at, count] of [60, 500, 130, 3].entries()) {
    const configuration = makeConfiguration(at + 1, count);
    const state = stateOf(configuration);
    const before = [...(held?.sections.keys() ?? [])];
    const changed = new Set([...before, ...state.sections.keys()]);
    const names = selectCoveredNames(changed, ['records']);
    held = applyPush(held, pushTo(state, ['records'], names, false), [
      'records',
    ]);
    const records = [...configuration.routes.values()].filter(
      ({service}) => service === 'records',
    );
    t.is(held.configuration.routes.size, records.length);
  }
});
