import {appendFile, mkdir, readdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {Experiment, Outcome, RunOptions} from './experiment.js';
import {formatFigure, measurementRows} from './measurements.js';
import {drawPlot} from '../src/plot/plot.js';

/** Command line of the bench: lists the experiments or runs one of them. */

const usage = `Usage:
  npm run bench -- list
  npm run bench -- NAME [--json] [--seed N] [--seconds N] [--record]

--record appends the figures to docs/MEASUREMENTS.md; plots go to bench/results/.
`;

const experimentsFolder = new URL('./experiments/', import.meta.url);
const resultsFolder = join('bench', 'results');
const measurementsFile = join('docs', 'MEASUREMENTS.md');

/** Largest value of --seconds; bounds how long a run loads the machine. */
const maxSeconds = 60;

async function experimentNames(): Promise<string[]> {
  const files = await readdir(experimentsFolder);
  return files
    .filter(file => file.endsWith('.js') && !file.endsWith('.test.js'))
    .map(file => file.slice(0, -'.js'.length))
    .sort();
}

async function loadExperiment(name: string): Promise<Experiment | undefined> {
  const url = new URL(`${name}.js`, experimentsFolder).href;
  const module = (await import(url)) as {experiment?: Experiment};
  return module.experiment;
}

async function list(): Promise<number> {
  for (const name of await experimentNames()) {
    const experiment = await loadExperiment(name);
    if (experiment === undefined) continue;
    process.stdout.write(`${name.padEnd(24)} ${experiment.about}\n`);
    process.stdout.write(`${' '.repeat(25)}against: ${experiment.baseline}\n`);
  }
  return 0;
}

async function writePlots(name: string, outcome: Outcome): Promise<string[]> {
  await mkdir(resultsFolder, {recursive: true});
  const files: string[] = [];
  for (const [index, plot] of (outcome.plots ?? []).entries()) {
    const file = join(resultsFolder, `${name}-${index + 1}.svg`);
    await writeFile(file, drawPlot(plot));
    files.push(file);
  }
  return files;
}

function printTable(outcome: Outcome, plots: readonly string[]): void {
  for (const row of outcome.rows) {
    const ratio =
      row.ratio === undefined
        ? ''
        : `${formatFigure(row.ratio)} times ${formatFigure(row.baseline!)}`;
    const value = `${formatFigure(row.value)} ${row.unit}`;
    process.stdout.write(
      `${row.figure.padEnd(44)} ${value.padEnd(20)} ${ratio}\n`,
    );
  }
  for (const [name, count] of Object.entries(outcome.counts ?? {})) {
    process.stdout.write(`count of ${name}: ${count}\n`);
  }
  for (const note of outcome.notes ?? []) process.stdout.write(`${note}\n`);
  for (const plot of plots) process.stdout.write(`plot: ${plot}\n`);
}

async function measure(
  experiment: Experiment,
  options: RunOptions,
  output: {json: boolean; record: boolean},
): Promise<number> {
  const outcome = await experiment.run(options);
  const plots = await writePlots(experiment.name, outcome);
  const date = new Date().toISOString().slice(0, 10);
  if (output.json) {
    const result = {experiment: experiment.name, date, options, ...outcome};
    process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
  } else printTable(outcome, plots);
  if (output.record) {
    const rows = measurementRows(date, experiment, options, outcome.rows);
    await appendFile(measurementsFile, rows);
  }
  return 0;
}

function fail(problem: string): number {
  process.stderr.write(`bench: ${problem}\n${usage}`);
  return 2;
}

async function main(args: string[]): Promise<number> {
  const {values, positionals} = parseArgs({
    args,
    allowPositionals: true,
    options: {
      json: {type: 'boolean', default: false},
      record: {type: 'boolean', default: false},
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string'},
    },
  });
  const [name] = positionals;
  if (name === undefined) return fail('name an experiment');
  if (name === 'list') return list();
  if (!(await experimentNames()).includes(name)) {
    return fail(`there is no experiment ${name}`);
  }
  const experiment = await loadExperiment(name);
  if (experiment === undefined) return fail(`${name} exports no experiment`);
  const seed = Number(values.seed);
  const seconds = Number(values.seconds ?? experiment.seconds);
  if (!Number.isInteger(seed)) return fail('--seed takes a whole number');
  if (!(seconds > 0 && seconds <= maxSeconds)) {
    return fail(`--seconds takes a number up to ${maxSeconds}`);
  }
  return measure(experiment, {seed, seconds}, values);
}

main(process.argv.slice(2)).then(
  // Exits explicitly, as links and pools that are still open would keep the
  // process running.
  code => process.exit(code),
  (error: Error) => {
    process.stderr.write(`bench: ${error.message}\n`);
    process.exit(1);
  },
);
