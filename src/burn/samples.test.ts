import test from 'ava';
import {addScrapes, compact, noSamples} from './samples.js';
import type {Count, Samples, Scrape} from './samples.js';

const day = 24 * 3600 * 1000;
const period = 30 * day;

function good(count: number): Count {
  return {
    service: 'crewbook',
    policy: 'gate-checks',
    code: 1000,
    verdict: 'good',
    count,
  };
}

function scrape(count: number, started = 5, node = 'a'): Scrape {
  return {node, started, counts: [good(count)]};
}

function counted(samples: Samples): number {
  return samples.intervals
    .flatMap(interval => interval.counts)
    .reduce((sum, count) => sum + count.count, 0);
}

test('the first scrape sets the mark; later ones add what was answered since', t => {
  const first = addScrapes(noSamples, 1000, [scrape(500)]);
  t.is(counted(first), 0);
  const second = addScrapes(first, 2000, [scrape(530)]);
  t.deepEqual(second.intervals, [{from: 1000, to: 2000, counts: [good(30)]}]);
});

test('a restart between scrapes neither subtracts nor hides answers', t => {
  // The report sees 500, then the node dies and answers 20, or 900, anew. A
  // plain difference gives -480 in the one case and 400 in the other.
  const first = addScrapes(noSamples, 1000, [scrape(500, 5)]);
  t.is(counted(addScrapes(first, 2000, [scrape(20, 1500)])), 20);
  t.is(counted(addScrapes(first, 2000, [scrape(900, 1500)])), 900);
});

test('a node missed by one scrape is made up for by the next', t => {
  const first = addScrapes(noSamples, 1000, [scrape(10)]);
  const missed = addScrapes(first, 2000, []);
  t.is(counted(addScrapes(missed, 3000, [scrape(25)])), 15);
});

test('a node seen late counts only when it started since the last scrape', t => {
  const first = addScrapes(noSamples, 1000, [scrape(10)]);
  const old = addScrapes(first, 2000, [scrape(10), scrape(700, 5, 'b')]);
  t.is(counted(old), 0);
  const fresh = addScrapes(first, 2000, [scrape(10), scrape(7, 1500, 'b')]);
  t.is(counted(fresh), 7);
});

test('a period of scrapes each minute stays a bounded number of intervals', t => {
  const minute = 60_000;
  let samples: Samples = noSamples;
  const rounds = 45 * 24 * 60;
  for (let round = 1; round <= rounds; round++) {
    samples = addScrapes(samples, round * minute, [scrape(round)]);
    samples = compact(samples, period);
  }
  t.true(samples.intervals.length < 220, `${samples.intervals.length}`);
  const oldest = samples.intervals[0]!;
  t.true(samples.time - oldest.to <= period);
  const spanned = samples.time - oldest.from;
  t.is(counted(samples), spanned / minute, 'merging loses no answer');
  const recent = samples.intervals.filter(
    interval => samples.time - interval.to < 5 * minute,
  );
  t.is(recent.length, 5, 'what is new stays fine');
});
