/**
 * What workspaces get of one gate from the full to twice the capacity, in the
 * order of arrival and in fair order, on fake timers.
 */
import {weightExponent} from '../../src/request/decisions/workspace-weights.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';
import {
  servedShare,
  servedShares,
  simulateSharing,
} from '../sharing/simulation.js';
import type {SharingResult, WorkspaceLoad} from '../sharing/simulation.js';

/** How the load is divided among workspaces; shares are relative. */
interface Division {
  readonly name: string;
  readonly shares: readonly number[];
  /** Shares by which the quotas are set. */
  readonly usualShares: readonly number[];
  readonly weightings: readonly Weighting[];
}

/** How the weight of a workspace follows from its share, 1 on average. */
interface Weighting {
  readonly name: string;
  weight(share: number): number;
}

const kind = {name: 'lookups', work: 120, objective: 500};
const loads = [1, 1.3, 2];
/** Simulated milliseconds per point for each second of `RunOptions.seconds`. */
const modelTime = 60_000;
/** Exponent of the sizes in docs/design/hard-load.md. */
const sizeExponent = 1.2;

const sizes = Array.from(
  {length: 77},
  (_, rank) => (rank + 1) ** -sizeExponent,
);
const weightings: readonly Weighting[] = [
  {name: 'equal weights', weight: () => 1},
  {name: 'weights by quota', weight: share => share},
  {
    name: `weights by quota to the power of ${weightExponent}`,
    weight: share => share ** weightExponent,
  },
];
const divisions: readonly Division[] = [
  {
    name: 'one of 21 at 9 times its rate',
    shares: [9, ...new Array<number>(20).fill(1)],
    usualShares: new Array<number>(21).fill(1),
    weightings: weightings.slice(0, 1),
  },
  {
    name: '77 sizes by a power law',
    shares: sizes,
    usualShares: sizes,
    weightings,
  },
];

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  for (const division of divisions) {
    for (const load of loads) {
      const play = (weighting: Weighting, fair: boolean) =>
        simulateSharing({
          workspaces: workspacesOf(division, load, weighting),
          seed,
          duration: seconds * modelTime,
          fair,
        });
      const arrival = play(weightings[0]!, false);
      for (const weighting of division.weightings) {
        const at = `${load}x, ${division.name}, ${weighting.name}`;
        rows.push(...rowsOf(at, play(weighting, true), arrival));
      }
    }
  }
  return {
    rows,
    notes: [
      'decisions on fake timers; the results do not depend on the machine',
    ],
  };
}

function workspacesOf(
  {shares, usualShares}: Division,
  load: number,
  {weight}: Weighting,
): WorkspaceLoad[] {
  const sum = shares.reduce((total, share) => total + share, 0);
  const usual = mean(usualShares);
  return shares.map((share, index) => ({
    name: `workspace ${index}`,
    load: (load * share) / sum,
    weight: weight(usualShares[index]! / usual),
    kind,
    priority: 'normal',
  }));
}

function rowsOf(
  at: string,
  fair: SharingResult,
  arrival: SharingResult,
): Row[] {
  const row = (figure: string, value: (result: SharingResult) => number) =>
    compare(`${figure} at ${at}`, 'share', value(fair), value(arrival));
  return [
    row('served of all requests', result => servedShare(result)),
    row('served, mean of workspaces', result => mean(servedShares(result))),
    row('served, lowest workspace', result => servedShares(result)[0]!),
    row('served, worst tenth of workspaces', worstTenth),
    row('served of the largest workspace', result =>
      servedShare(result, name => name === 'workspace 0'),
    ),
  ];
}

function worstTenth(result: SharingResult): number {
  const shares = servedShares(result);
  return mean(shares.slice(0, Math.ceil(shares.length / 10)));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export const experiment: Experiment = {
  name: 'request-sharing',
  about: 'shares of workspaces at a full gate, in fair order',
  baseline: 'order of arrival',
  seconds: 10,
  run,
};
