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

function totalCount(samples: Samples): number {
  return samples.intervals
    .flatMap(interval => interval.counts)
    .reduce((sum, count) => sum + count.count, 0);
}

test('the first scrape sets the baseline; later ones add the answers since then', t => {
  const first = addScrapes(noSamples, 1000, [scrape(500)]);
  t.is(totalCount(first), 0);
  const second = addScrapes(first, 2000, [scrape(530)]);
  t.deepEqual(second.intervals, [{from: 1000, to: 2000, counts: [good(30)]}]);
});

test('a restart between scrapes neither subtracts nor loses answers', t => {
  // The first scrape gives 500. The node restarts, counts from 0 and has 20 or
  // 900 answers at the next scrape. The plain difference would be -480 or 400.
  const first = addScrapes(noSamples, 1000, [scrape(500, 5)]);
  t.is(totalCount(addScrapes(first, 2000, [scrape(20, 1500)])), 20);
  t.is(totalCount(addScrapes(first, 2000, [scrape(900, 1500)])), 900);
});

test('the answers of a node that one scrape missed are added by the next', t => {
  const first = addScrapes(noSamples, 1000, [scrape(10)]);
  const missed = addScrapes(first, 2000, []);
  t.is(totalCount(addScrapes(missed, 3000, [scrape(25)])), 15);
});

test('the answers of a new node count only if it started after the last scrape', t => {
  const first = addScrapes(noSamples, 1000, [scrape(10)]);
  const old = addScrapes(first, 2000, [scrape(10), scrape(700, 5, 'b')]);
  t.is(totalCount(old), 0);
  const fresh = addScrapes(first, 2000, [scrape(10), scrape(7, 1500, 'b')]);
  t.is(totalCount(fresh), 7);
});

test('scrapes each minute over a whole period give a bounded number of intervals', t => {
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
  t.is(totalCount(samples), spanned / minute, 'merging loses no answer');
  const recent = samples.intervals.filter(
    interval => samples.time - interval.to < 5 * minute,
  );
  t.is(recent.length, 5, 'recent intervals are not merged');
});
