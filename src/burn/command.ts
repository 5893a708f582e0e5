import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {adminCodes} from '../admin/codes.js';
import {exitCodes} from '../process/exit-codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';
import {computeBurn} from './burn.js';
import type {BurnReport, Target} from './burn.js';
import {burnHelp} from './help.js';
import {requestTargets, readTargets} from './objectives.js';
import {resolveBurnOptions} from './options.js';
import type {BurnOptions} from './options.js';
import {renderPage} from './page.js';
import {addScrapes, compact, noSamples} from './samples.js';
import type {Samples} from './samples.js';
import {readSamples, writeSamples} from './samples-file.js';
import {scrapeNodes} from './scrape.js';
import type {ScrapeResult} from './scrape.js';
import {renderTable} from './table.js';

/** Inputs and outputs of the command; replaced in tests. */
export interface CommandContext {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly timers: Timers;
  readonly scrape: (nodes: readonly string[]) => Promise<ScrapeResult>;
  readonly targets: (options: BurnOptions) => Promise<Result<Target[]>>;
}

/** Runs `foxbarrow report`; resolves with the exit code. */
export function runReportCommand(args: readonly string[]): Promise<number> {
  return runReport(args, {
    out: text => void process.stdout.write(text),
    error: text => void process.stderr.write(text),
    environment: process.env,
    timers: createTimers(),
    scrape: scrapeNodes,
    targets: fetchTargets,
  });
}

/** Runs the command in the given context; resolves with the exit code. */
export async function runReport(
  args: readonly string[],
  context: CommandContext,
): Promise<number> {
  const {out, error, environment} = context;
  const options = resolveBurnOptions(args, environment);
  if (!options.ok) {
    error(`foxbarrow: ${options.message}; see foxbarrow report burn --help\n`);
    return exitCodes.usage;
  }
  if (options.value.help) {
    out(burnHelp);
    return exitCodes.ok;
  }
  const report = await makeReport(options.value, context);
  if (!report.ok) {
    error(`foxbarrow: ${report.code.number} ${report.message}\n`);
    return exitCodes.failed;
  }
  await writeReport(report.value, options.value, out);
  return exitCodes.ok;
}

async function makeReport(
  options: BurnOptions,
  context: CommandContext,
): Promise<Result<BurnReport>> {
  const targets = await context.targets(options);
  if (!targets.ok) return targets;
  const sampled = await sample(options, context);
  if (!sampled.ok) return sampled;
  const {samples, unreached} = sampled.value;
  return success(
    computeBurn(samples, targets.value, options.period, unreached),
  );
}

interface SamplingResult {
  readonly samples: Samples;
  readonly unreached: readonly string[];
}

/**
 * Scrapes until the sampling time is over; saves the samples after each round.
 */
async function sample(
  options: BurnOptions,
  {scrape, timers}: CommandContext,
): Promise<Result<SamplingResult>> {
  const {samplesFile, nodes, length, every, period} = options;
  const stored =
    samplesFile === undefined
      ? success(noSamples)
      : await readSamples(samplesFile);
  if (!stored.ok) return stored;
  let samples = stored.value;
  let unreached: readonly string[] = [];
  let isAnyReached = nodes.length === 0;
  const end = timers.now() + length;
  for (let next = timers.now(); nodes.length > 0; next += every) {
    const round = await scrape(nodes);
    unreached = round.unreached;
    isAnyReached ||= round.scrapes.length > 0;
    samples = compact(
      addScrapes(samples, timers.wall(), round.scrapes),
      period,
    );
    if (samplesFile !== undefined) await writeSamples(samplesFile, samples);
    if (next + every > end) break;
    await pause(timers, next + every - timers.now());
  }
  if (isAnyReached) return success({samples, unreached});
  return failure(
    adminCodes.scrapeFailed,
    `none of ${nodes.length} nodes returned its metrics; check the addresses`,
  );
}

function pause(timers: Timers, delay: number): Promise<void> {
  return new Promise(resolve => {
    timers.after(Math.max(0, delay), resolve);
  });
}

async function writeReport(
  report: BurnReport,
  options: BurnOptions,
  out: (text: string) => void,
): Promise<void> {
  if (options.pageFile !== undefined) {
    await writeFile(options.pageFile, renderPage(report));
  }
  if (options.json) out(`${JSON.stringify(report, null, 2)}\n`);
  else out(renderTable(report));
}

async function fetchTargets(options: BurnOptions): Promise<Result<Target[]>> {
  const {objectivesFile, control} = options;
  if (objectivesFile !== undefined) return readTargets(objectivesFile);
  if (control.length > 0) return requestTargets(control, options.token);
  return failure(
    adminCodes.objectivesMissing,
    'no source of objectives: give --control ADDRESS or --objectives FILE',
  );
}
