import test from 'ava';
import type {Experiment} from './experiment.js';
import {measurementRows} from './measurements.js';

test('a row contains the command that repeats the measurement and the ratio', t => {
  const experiment = {name: 'hops', baseline: 'direct'} as Experiment;
  const rows = measurementRows(
    '2026-12-02',
    experiment,
    {seed: 4, seconds: 2},
    [
      {
        figure: 'p99',
        unit: 'ms',
        value: 1.23456,
        baseline: 0.5,
        ratio: 2.46912,
      },
      {figure: 'runs', unit: 'calls', value: 10},
    ],
  );
  t.is(
    rows,
    '| 2026-12-02 | hops | `npm run bench -- hops --seed 4 --seconds 2` | direct | p99 1.235 ms | 2.469 |\n' +
      '| 2026-12-02 | hops | `npm run bench -- hops --seed 4 --seconds 2` | direct | runs 10 calls | (baseline) |\n',
  );
});
