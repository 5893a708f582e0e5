/** Placement of calls in failure domains with uneven demand and instances. */
import {simulatePlacement} from '../placing/simulation.js';
import type {
  PlacedResult,
  PlacedService,
  PlacementRule,
} from '../placing/simulation.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';

const size: Omit<PlacedService, 'load' | 'rule' | 'duration'> = {
  domains: 4,
  entriesPerDomain: 16,
  instancesPerDomain: 8,
  slots: 8,
  work: 140,
  objective: 534,
  deadline: 2_000,
  swing: 0.55,
};
const loads = [0.5, 0.65, 0.8, 1, 1.3];

/** Simulated milliseconds per point for each second of `RunOptions.seconds`. */
const modelTime = 3_000;

const rules: readonly PlacementRule[] = [
  {name: 'free', pool: {}},
  {name: 'local up to a load of 3', pool: {localLimit: 3}},
  {name: 'dear by load', pool: {crossings: 'dear'}},
  {name: 'dear by finish', estimates: true, pool: {crossings: 'dear'}},
];

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  for (const load of loads) {
    const results = rules.map(rule =>
      simulatePlacement(
        {...size, load, rule, duration: seconds * modelTime},
        seed,
      ),
    );
    const baseline = results[0]!;
    rules.forEach((rule, index) => {
      rows.push(...rowsOf(`${load}x, ${rule.name}`, results[index]!, baseline));
    });
  }
  return {
    rows,
    notes: [
      'decisions on fake timers; the results do not depend on the machine',
    ],
  };
}

function rowsOf(
  at: string,
  result: PlacedResult,
  baseline: PlacedResult,
): Row[] {
  const {inTime, served, refused, crossings, attemptsPerRequest} = result;
  return [
    compare(`in time: ${at}`, 'share', inTime, baseline.inTime),
    compare(`served: ${at}`, 'share', served, baseline.served),
    {figure: `refused: ${at}`, unit: 'share', value: refused},
    compare(`crossings: ${at}`, 'per request', crossings, baseline.crossings),
    {figure: `attempts: ${at}`, unit: 'per request', value: attemptsPerRequest},
  ];
}

export const experiment: Experiment = {
  name: 'request-placing',
  about: 'placement in failure domains with uneven demand and instances',
  baseline: 'local instances preferred up to a utilization of 0.7',
  seconds: 10,
  run,
};
