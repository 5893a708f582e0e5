/** Limits and shutdowns in answers, on real processes with faults. */
import {
  findDrainBreaks,
  findFalseRefusals,
  findLimitBreaks,
} from '../limits/checks.js';
import {runSoak} from '../limits/soak.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';

const instances = 8;
/** Requests per second. */
const rate = 160;

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const options = {seed, instances, rate, duration: seconds * 1_000};
  const result = await runSoak(options);
  const limits = findLimitBreaks(result);
  const drains = findDrainBreaks(result);
  const refusals = findFalseRefusals(result);
  const served = result.requests.filter(({status}) => status === 200).length;
  const count = (figure: string, value: number) => ({figure, unit: '', value});
  return {
    rows: [
      count('instances that got more than their limit', limits.length),
      count('requests after a reported shutdown', drains.length),
      count('requests refused as not run that ran', refusals.length),
      {
        figure: 'served',
        unit: 'share',
        value: served / result.requests.length,
      },
    ],
    counts: {requests: result.requests.length, ...result.events},
    notes: [...limits, ...drains, ...refusals],
  };
}

export const experiment: Experiment = {
  name: 'limits-soak',
  about: 'limits and shutdowns in answers under faults of real processes',
  baseline: 'no breaks',
  seconds: 20,
  run,
};
