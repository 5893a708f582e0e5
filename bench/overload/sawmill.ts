import type {
  OverloadOptions,
  RequestKind,
  SimulatedInstanceOptions,
} from './simulation.js';

/** What the kinds of nested calls have in common. */
const nestedKind = {
  priority: 'normal',
  repeatability: 'idempotent',
  rate: 0,
  work: 36,
  spread: 0.5,
  objective: 150,
  deadline: 400,
  worth: 0,
  lateWorth: 0,
} as const;

/** Lookups whose calls run at the service that takes the bookings. */
export const sawmillKinds: readonly RequestKind[] = [
  {
    name: 'stock-lookup',
    service: 'sklad',
    priority: 'normal',
    repeatability: 'idempotent',
    rate: 257,
    work: 140,
    spread: 0.3,
    objective: 400,
    deadline: 1_000,
    worth: 0.86,
    lateWorth: 0.26,
    calls: {kind: 'grade-fetch', share: 0.7},
  },
  {
    name: 'kiln-book',
    service: 'susarna',
    priority: 'normal',
    repeatability: 'once',
    rate: 86,
    work: 190,
    spread: 0.5,
    objective: 800,
    deadline: 1_200,
    worth: 0.86,
    lateWorth: 0.39,
    calls: {kind: 'yard-map', share: 0.7},
  },
  {
    name: 'lot-reserve',
    service: 'expedice',
    priority: 'critical',
    repeatability: 'once',
    rate: 73,
    work: 100,
    spread: 0.5,
    objective: 250,
    deadline: 1_000,
    worth: 4.9,
    lateWorth: 0.59,
  },
  {
    name: 'delivery-note',
    service: 'expedice',
    priority: 'normal',
    repeatability: 'once',
    rate: 25,
    work: 120,
    spread: 0.3,
    objective: 400,
    deadline: 1_200,
    worth: 0.86,
    lateWorth: 0.26,
  },
  {...nestedKind, name: 'grade-fetch', service: 'susarna'},
  {...nestedKind, name: 'yard-map', service: 'expedice'},
];

const domains = ['a', 'b', 'c'];
const speeds = [0.5, 1, 1, 1.5];

function instancesOf(
  service: string,
  count: number,
): SimulatedInstanceOptions[] {
  return Array.from({length: count}, (_none, index) => ({
    service,
    domain: domains[index % domains.length]!,
    speed: speeds[index % speeds.length]!,
  }));
}

/** Fourteen instances of three services; callers have workspaces. */
export const sawmill: Omit<OverloadOptions, 'seed'> = {
  kinds: sawmillKinds,
  instances: [
    ...instancesOf('sklad', 7),
    ...instancesOf('susarna', 4),
    ...instancesOf('expedice', 3),
  ],
  slots: 9,
  workspaces: 77,
  loadAt: () => 1,
  departures: [],
  hopTime: 0,
  duration: 6_000,
};
