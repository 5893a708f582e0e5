/** Instances that limit their requests per second, beside others with room. */
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';
import {simulateLimits} from '../limits/simulation.js';
import type {LimitedService} from '../limits/simulation.js';

/** Nine instances as at the agency, and 55 as in a larger deployment. */
const sizes = [
  {entries: 12, instances: 9, slots: 8, work: 60, objective: 250},
  {entries: 69, instances: 55, slots: 8, work: 290, objective: 1_060},
];

/** Simulated milliseconds for each second of `RunOptions.seconds`. */
const modelTime = 2_000;

function pointsOf(duration: number): LimitedService[] {
  const points: LimitedService[] = [];
  for (const size of sizes) {
    const tenth = Math.ceil(size.instances / 10);
    for (const load of [0.5, 0.8]) {
      for (const limited of [tenth, 3 * tenth]) {
        points.push({...size, load, limited, limitShare: 0.25, duration});
      }
    }
    const all = {limited: size.instances, limitShare: 0.5};
    points.push({...size, load: 0.6, ...all, duration});
  }
  return points;
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  for (const point of pointsOf(seconds * modelTime)) {
    const {instances, load, limited, limitShare} = point;
    const at = `${limited} of ${instances} at ${limitShare} of their share, ${load}x`;
    const result = simulateLimits(point, seed);
    const baseline = simulateLimits({...point, limited: 0}, seed);
    rows.push(
      compare(`in time: ${at}`, 'share', result.inTime, baseline.inTime),
      compare(`served: ${at}`, 'share', result.served, baseline.served),
      compare(
        `attempts: ${at}`,
        'per request',
        result.attemptsPerRequest,
        baseline.attemptsPerRequest,
      ),
      {figure: `used: ${at}`, unit: 'of the limit', value: result.used},
      {
        figure: `most in 4 s: ${at}`,
        unit: 'of what is allowed',
        value: result.worstWindow,
      },
    );
  }
  return {
    rows,
    notes: [
      'decisions on fake timers; the results do not depend on the machine',
    ],
  };
}

export const experiment: Experiment = {
  name: 'limited-instances',
  about: 'instances that limit their requests per second',
  baseline: 'the same load without limits',
  seconds: 10,
  run,
};
