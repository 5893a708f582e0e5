import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {success} from '../result/failure.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {runReport} from './command.js';
import type {Scrape} from './samples.js';

const targets = [{policy: 'gate-checks', target: 0.99, latency: 50}];

/**
 * A node that answers 100 more requests by each scrape; `failing` of them fail.
 */
function scrapeOf(round: number, failing: number): Scrape {
  const base = {service: 'drillvault', policy: 'gate-checks'};
  return {
    node: '127.0.0.1:1',
    started: 0,
    counts: [
      {...base, code: 1000, verdict: 'good', count: round * (100 - failing)},
      {...base, code: 5003, verdict: 'failed', count: round * failing},
    ],
  };
}

async function run(args: readonly string[], failing = 0, isReached = true) {
  const timers = createFakeTimers(1_000_000);
  let round = 0;
  const output = {out: '', error: ''};
  let code: number | undefined;
  void runReport(args, {
    out: text => (output.out += text),
    error: text => (output.error += text),
    environment: {},
    timers,
    scrape: async nodes => {
      round++;
      if (!isReached) return {scrapes: [], unreached: nodes};
      return {scrapes: [scrapeOf(round, failing)], unreached: []};
    },
    targets: async () => success(targets),
  }).then(exitCode => (code = exitCode));
  // File operations take real time, so the fake time advances until the command
  // has ended.
  while (code === undefined) await timers.advanceAsync(1000);
  return {code, rounds: round, ...output};
}

const sampling = ['burn', '--node', '127.0.0.1:1', '--for', '60s'];

test('sampling a faulty service names the alert and the code that spent the budget', async t => {
  const {code, out, rounds} = await run(
    [...sampling, '--every', '10s', '--period', '1d'],
    20,
  );
  t.is(code, 0);
  t.is(rounds, 7);
  t.regex(
    out,
    /drillvault +gate-checks +99% in 50ms +600 +spent 20 times .*page-fast/,
  );
  t.regex(out, /100% +5003/);
});

test('a service without failures spends no budget and raises no alert', async t => {
  const {out} = await run([...sampling, '--json']);
  const report = JSON.parse(out);
  t.is(report.services[0].budgetLeft, 1);
  t.deepEqual(report.services[0].alerts, []);
  t.is(report.covered, 60_000);
});

test('the HTML page is self-contained and shows the service and its alert', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const file = join(folder, 'burn.html');
  await run([...sampling, '--html', file], 20);
  const page = await readFile(file, 'utf8');
  t.regex(page, /drillvault/);
  t.regex(page, /page-fast/);
  t.notRegex(page, /<script|<link|https?:\/\/(?!www\.w3\.org\/2000\/svg)/);
  t.notRegex(page, /NaN|undefined/);
});

test('samples are stored between runs, so one scrape a run is enough', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const samples = join(folder, 'samples.json');
  const args = ['burn', '--samples', samples];
  await run([...sampling, '--samples', samples], 20);
  const {code, out} = await run(args);
  t.is(code, 0);
  t.regex(out, /600/);
});

test('an invalid samples file is refused and not modified', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const samples = join(folder, 'samples.json');
  await writeFile(samples, '{"time": 1');
  const {code, error} = await run([...sampling, '--samples', samples]);
  t.is(code, 1);
  t.regex(error, /^foxbarrow: 8002 .*name another file/);
  t.is(await readFile(samples, 'utf8'), '{"time": 1');
});

test('a run that reaches no node fails and prints no report', async t => {
  const {code, out, error} = await run(sampling, 0, false);
  t.is(code, 1);
  t.is(out, '');
  t.regex(error, /8003 none of 1 nodes/);
});

test('invalid options print one line and exit with 2', async t => {
  for (const args of [
    [],
    ['latency'],
    ['burn', '--for', 'long'],
    ['burn', '--node', 'localhost:1'],
    ['burn', '--nodes', 'no-such-file'],
    ['burn', '--colour'],
  ]) {
    const {code, error} = await run(args);
    t.is(code, 2, args.join(' '));
    t.regex(error, /^foxbarrow: [^\n]+\n$/);
  }
});
