import {performance} from 'node:perf_hooks';
import {Registry} from 'prom-client';
import {createMetrics} from '../../src/admin/metrics.js';
import type {Metrics} from '../../src/metrics/metrics.js';
import {commonCodes} from '../../src/result/codes.js';
import {createRandom} from '../../src/random/random.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';

/** Number of services that the project is designed for. */
const services = 710;

const batch = 10_000;

interface Cost {
  /** Microseconds per report. */
  readonly report: number;
  /** Milliseconds for which one scrape blocks the event loop. */
  readonly scrape: number;
  /** Bytes of one scrape. */
  readonly bytes: number;
  readonly reports: number;
}

/** Reports for half of the given time, then scrapes for the other half. */
async function measure(routeLimit: number, options: RunOptions): Promise<Cost> {
  const random = createRandom(options.seed);
  const registry = new Registry();
  const metrics = createMetrics({registry, routeLimit});
  const half = (options.seconds * 1000) / 4;

  let reports = 0;
  const start = performance.now();
  while (performance.now() - start < half) {
    for (let turn = 0; turn < batch; turn++)
      report(metrics, random.integer(services));
    reports += batch;
  }
  const reporting = performance.now() - start;

  let scrapes = 0;
  let bytes = 0;
  const scrapeStart = performance.now();
  while (performance.now() - scrapeStart < half) {
    bytes = (await registry.metrics()).length;
    scrapes++;
  }
  const scraping = performance.now() - scrapeStart;
  return {
    report: (reporting * 1000) / reports,
    scrape: scraping / scrapes,
    bytes,
    reports,
  };
}

function report(metrics: Metrics, service: number): void {
  metrics.answered({
    route: `route-${service}`,
    service: `service-${service}`,
    policy: 'lookups',
    code: commonCodes.ok,
    status: 200,
    whole: true,
    duration: service % 100,
    objective: 50,
  });
}

async function run(options: RunOptions): Promise<Outcome> {
  const free = await measure(Infinity, options);
  const bounded = await measure(64, options);
  return {
    rows: [
      compare('one report', 'us', bounded.report, free.report),
      compare('one scrape', 'ms', bounded.scrape, free.scrape),
      compare('bytes of a scrape', 'B', bounded.bytes, free.bytes),
    ],
    counts: {reports: bounded.reports + free.reports},
  };
}

export const experiment: Experiment = {
  name: 'metrics',
  about:
    'cost of metrics on a node that calls 710 services, with routes limited to 64',
  baseline: 'a series for every route',
  seconds: 8,
  run,
};
