import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {runKinds} from '../rollouts/kinds.js';
import type {RunKind} from '../rollouts/kinds.js';
import {playRollout} from '../rollouts/simulation.js';
import type {RolloutResult} from '../rollouts/simulation.js';
import type {RolloutAnalysis} from '../../src/rollouts/analysis.js';
import {createSequentialAnalysis} from '../../src/rollouts/sequential-analysis.js';
import {createThresholdAnalysis} from '../../src/rollouts/threshold-analysis.js';

/** Roll-outs in simulated time, by the sequential analysis and by thresholds. */

const analyses = {
  sequential: createSequentialAnalysis,
  thresholds: createThresholdAnalysis,
} as const;

/** Maximum number of seeds of each kind. */
const maxSeeds = 200;

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const end = Date.now() + seconds * 1000;
  const results = new Map(
    runKinds.map(kind => [
      kind,
      {sequential: [] as RolloutResult[], thresholds: [] as RolloutResult[]},
    ]),
  );
  let seeds = 0;
  while (seeds < maxSeeds && (seeds === 0 || Date.now() < end)) {
    for (const [kind, lists] of results) {
      for (const [name, create] of Object.entries(analyses)) {
        const analysis: RolloutAnalysis = create();
        const played = await playRollout({kind, seed: seed + seeds, analysis});
        lists[name as keyof typeof analyses].push(played);
      }
    }
    seeds++;
  }
  const rows = [...results].flatMap(([kind, {sequential, thresholds}]) =>
    rowsOf(kind, sequential, thresholds),
  );
  return {rows, counts: {seeds}, plots: plotsOf(results)};
}

function rowsOf(
  kind: RunKind,
  sequential: readonly RolloutResult[],
  thresholds: readonly RolloutResult[],
): Row[] {
  const row = (
    figure: string,
    unit: string,
    measure: (results: readonly RolloutResult[]) => number,
  ): Row => ({
    figure: `${kind.name}: ${figure}`,
    unit,
    value: measure(sequential),
    baseline: measure(thresholds),
  });
  const wrong = (results: readonly RolloutResult[]) =>
    results.filter(({phase}) => phase !== kind.expected).length;
  const worst =
    (key: keyof RolloutResult) => (results: readonly RolloutResult[]) =>
      Math.max(...results.map(result => Number(result[key])));
  const rows = [row('ended otherwise', 'runs', wrong)];
  if (kind.expected === 'completed') {
    return [
      ...rows,
      row('latest end', 'ms', worst('endedAfter')),
      row(
        'late',
        'runs',
        results => results.filter(({endedAfter}) => endedAfter > 12_000).length,
      ),
      row('requests lost', '', worst('lost')),
    ];
  }
  return [
    ...rows,
    row('worst exposure', 'of allowance', worst('exposure')),
    row('after the first bad answer', 'ms', worst('afterFirstBad')),
    row('after the 50th bad answer', 'ms', worst('afterFiftiethBad')),
  ];
}

function plotsOf(
  results: ReadonlyMap<
    RunKind,
    {readonly sequential: readonly RolloutResult[]}
  >,
): NonNullable<Outcome['plots']> {
  return [...results]
    .filter(([{name}]) => name === 'good' || name === 'fails 0.3 from 5 s')
    .map(([{name}, {sequential}]) => ({
      title: `Share of the new version: ${name}`,
      xLabel: 'milliseconds since the order',
      yLabel: 'share of the requests',
      series: [
        {
          name: 'share',
          points: sequential[0]!.course.map(({at, share}) => ({
            x: at,
            y: share,
          })),
        },
      ],
    }));
}

/** The experiment. */
export const experiment: Experiment = {
  name: 'rollout',
  about: 'roll-outs of good and bad versions in simulated time',
  baseline: 'fixed thresholds on failures and on the 90th percentile',
  seconds: 60,
  run,
};
