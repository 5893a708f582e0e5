import test from 'ava';
import {drawPlot} from './plot.js';

test('a plot is one SVG element with all series and escaped text', t => {
  const svg = drawPlot({
    title: 'a < b',
    xLabel: 'rate',
    yLabel: 'ms',
    xScale: 'log',
    guides: [{label: 'page >', y: 14.4}],
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
  t.true(svg.includes('page &gt;'));
  t.true(svg.includes('with &amp; without'));
  t.notRegex(svg, /NaN/);
});
