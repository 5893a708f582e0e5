import test from 'ava';
import type {Experiment} from './experiment.js';
import {measurementRows} from './measurements.js';
import {drawPlot} from './plot.js';

test('a plot is one SVG element with each series and safe text', t => {
  const svg = drawPlot({
    title: 'a < b',
    xLabel: 'rate',
    yLabel: 'ms',
    xScale: 'log',
    series: [
      {
        name: 'with & without',
        points: [
          {x: 1, y: 2},
          {x: 100, y: 3},
        ],
      },
      {name: 'none', points: []},
    ],
  });
  t.regex(svg, /^<svg [^>]+>/);
  t.true(svg.includes('a &lt; b'));
  t.true(svg.includes('with &amp; without'));
  t.notRegex(svg, /NaN/);
});

test('a measured row holds the command that repeats it and the ratio', t => {
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
