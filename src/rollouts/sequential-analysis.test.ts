import test from 'ava';
import {createRandom} from '../random/random.js';
import {bucketOf} from './duration-buckets.js';
import type {Outcomes, RouteOutcomes} from './evidence.js';
import {noOutcomes} from './evidence.js';
import {createSequentialAnalysis} from './sequential-analysis.js';
import {createThresholdAnalysis} from './threshold-analysis.js';

const analysis = createSequentialAnalysis();

interface Shape {
  readonly answers: number;
  readonly failures?: number;
  /** Factor of all durations. */
  readonly scale?: number;
  /** Share of answers that take four times as long. */
  readonly slow?: number;
}

/** Outcomes with durations around 300 ms. */
function outcomesOf(shape: Shape, seed: number): Outcomes {
  const random = createRandom(seed);
  const outcomes = noOutcomes();
  outcomes.sent = outcomes.answers = shape.answers;
  outcomes.failures = shape.failures ?? 0;
  for (let left = shape.answers - outcomes.failures; left > 0; left--) {
    const spread = random.fraction() + random.fraction() + random.fraction();
    const slower = random.fraction() < (shape.slow ?? 0) ? 4 : 1;
    const duration = 100 * Math.exp(spread) * (shape.scale ?? 1) * slower;
    outcomes.durations[bucketOf(duration)]!++;
  }
  return outcomes;
}

function routeOf(stable: Shape, targets: readonly Shape[]): RouteOutcomes {
  return {
    stable: outcomesOf(stable, 1),
    targets: new Map(
      targets.map((shape, index) => [
        `new-${index}`,
        outcomesOf(shape, index + 2),
      ]),
    ),
  };
}

function judge(routes: Record<string, RouteOutcomes>) {
  const table = new Map(Object.entries(routes));
  return analysis.judge([{name: 'since the order', table}]);
}

const usual: Shape = {answers: 1_000, failures: 4};
const repeat = (count: number, shape: Shape) =>
  Array.from({length: count}, () => shape);

test('nothing speaks against a version without answers', t => {
  t.is(judge({records: routeOf(usual, [])}).kind, 'unremarkable');
});

test('a version as good as the stable one is unremarkable', t => {
  const verdict = judge({records: routeOf(usual, repeat(6, {answers: 50}))});
  t.is(verdict.kind, 'unremarkable');
});

test('a version that fails three of ten requests is bad after few of them', t => {
  const targets = repeat(6, {answers: 10, failures: 3});
  const verdict = judge({records: routeOf(usual, targets)});
  t.is(verdict.kind, 'bad');
  t.regex(verdict.reason, /18 of 60 answers failed since the order/);
});

test('a fault on one route is found beside many answers of another', t => {
  const verdict = judge({
    records: routeOf(usual, repeat(6, {answers: 100})),
    issues: routeOf(
      {answers: 100, failures: 1},
      repeat(6, {answers: 8, failures: 3}),
    ),
  });
  t.is(verdict.kind, 'bad');
  t.regex(verdict.reason, /on route issues/);
});

// Guards against a good version that is rolled back for trouble elsewhere.
test('failures of both versions do not count against the target', t => {
  const stable = {answers: 1_000, failures: 250};
  const targets = repeat(6, {answers: 40, failures: 10});
  t.not(judge({records: routeOf(stable, targets)}).kind, 'bad');
});

test('one bad VM does not make the version bad', t => {
  const targets = [{answers: 40, failures: 20}, ...repeat(5, {answers: 40})];
  t.not(judge({records: routeOf(usual, targets)}).kind, 'bad');
});

// Guards against a bad version that is excused by leaving out its instances.
test('a version is bad although its worst instances may be bad VMs', t => {
  const targets = repeat(4, {answers: 20, failures: 7});
  t.is(judge({records: routeOf(usual, targets)}).kind, 'bad');
});

test('a version of which half of the answers are four times slower is bad', t => {
  const targets = repeat(6, {answers: 20, slow: 0.5});
  const verdict = judge({records: routeOf(usual, targets)});
  t.is(verdict.kind, 'bad');
  t.regex(verdict.reason, /several times slower/);
});

test('VMs of other speeds do not make the version slow', t => {
  const targets = [0.6, 0.8, 1, 1.3, 1.6, 1].map(scale => ({
    answers: 60,
    scale,
  }));
  t.not(judge({records: routeOf(usual, targets)}).kind, 'bad');
});

test('one slow VM does not make the version slow', t => {
  const targets = [{answers: 30, scale: 4}, ...repeat(5, {answers: 30})];
  t.not(judge({records: routeOf(usual, targets)}).kind, 'bad');
});

test('thresholds say nothing before there are enough answers', t => {
  const few = routeOf(usual, repeat(2, {answers: 10, failures: 5}));
  const many = routeOf(usual, repeat(2, {answers: 20, failures: 5}));
  const byThresholds = createThresholdAnalysis();
  const spanOf = (route: RouteOutcomes) => [
    {name: 'since the order', table: new Map([['records', route]])},
  ];
  t.is(byThresholds.judge(spanOf(few)).kind, 'unremarkable');
  t.is(byThresholds.judge(spanOf(many)).kind, 'bad');
});
