/**
 * Checks the specifications with spin; only this module starts spin and gcc.
 */
import {execFile} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import pLimit from 'p-limit';
import {checks} from './checks.js';
import type {Bounds, Check} from './checks.js';

/** Result of one check. */
export interface Outcome {
  /** Whether the result is as expected. */
  readonly passed: boolean;
  /** Short description of the result. */
  readonly finding: string;
  readonly states: number;
  readonly seconds: number;
  readonly megabytes: number;
}

/**
 * Searches that run concurrently. They use half of the eight cores that CI has,
 * and with `searchMemory` a quarter of its memory.
 */
export const searchesAtOnce = 4;

/**
 * Time limit of a search in milliseconds, and memory limit in megabytes. A
 * search is limited by its states and its memory; the timeout only ends one
 * that hangs. The longest search takes under a minute alone, and over three
 * minutes beside programs that use four times the machine's cores.
 */
const searchTimeout = 1_800_000;
const searchMemory = 1400;
const searchDepth = 20_000;
const compilerFlags = ['-w', '-DSAFETY', '-DCOLLAPSE'];

/** Thrown when spin or gcc can't be started. */
export class ToolMissing extends Error {
  constructor(tool: string) {
    super(`${tool} is missing; install it with: apt-get install spin gcc`);
  }
}

interface ProcessResult {
  readonly output: string;
  readonly failed: boolean;
}

function start(
  file: string,
  args: readonly string[],
  cwd: string,
): Promise<ProcessResult> {
  const limits = {timeout: searchTimeout, maxBuffer: 16 * 1024 * 1024};
  return new Promise((resolve, reject) => {
    execFile(file, args, {cwd, ...limits}, (error, stdout, stderr) => {
      const isMissing = error !== null && error.code === 'ENOENT';
      if (isMissing) reject(new ToolMissing(file));
      else resolve({output: stdout + stderr, failed: error !== null});
    });
  });
}

async function build(
  file: string,
  args: readonly string[],
  folder: string,
): Promise<void> {
  const {output, failed} = await start(file, args, folder);
  if (failed) throw new Error(`${file} failed: ${output}`);
}

const toFlags = (bounds: Bounds) =>
  Object.entries(bounds).map(([name, value]) =>
    value === true ? `-D${name}` : `-D${name}=${value}`,
  );

/** Runs the search of one check; an incomplete search never passes. */
export async function run(check: Check): Promise<Outcome> {
  const source = `../../model/${check.specification}.pml`;
  const path = fileURLToPath(new URL(source, import.meta.url));
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-model-'));
  try {
    await build('spin', ['-a', '-o3', ...toFlags(check.bounds), path], folder);
    const flags = [...compilerFlags, `-DMEMLIM=${searchMemory}`];
    // `-O2` compiles slower, which only a search of all states makes up for.
    flags.push(check.expected === 'holds' ? '-O2' : '-O1');
    const args = ['-E', '-n', `-m${searchDepth}`];
    await build('gcc', [...flags, '-o', 'pan', 'pan.c'], folder);
    return judge(check, await start('./pan', args, folder));
  } finally {
    await rm(folder, {recursive: true, force: true});
  }
}

/** Evaluates the output of a search. */
export function judge(check: Check, {output, failed}: ProcessResult): Outcome {
  const find = (pattern: RegExp) => Number(pattern.exec(output)?.[1] ?? NaN);
  const figures = {
    states: find(/(\d+) states, stored/),
    seconds: find(/elapsed time ([\d.]+)/),
    megabytes: find(/([\d.]+)\s+total actual memory/),
  };
  const violated = /assertion violated (.*) \(at depth/.exec(output)?.[1];
  if (violated !== undefined) {
    const isExpected =
      check.expected !== 'holds' && violated.includes(check.assertion!);
    const finding = `${isExpected ? check.expected : 'broken'}: ${violated}`;
    return {passed: isExpected, finding, ...figures};
  }
  const isComplete =
    !failed &&
    find(/errors: (\d+)/) === 0 &&
    figures.states > 0 &&
    !/Search not completed|search depth too small|out of memory/.test(output);
  if (!isComplete) {
    return {passed: false, finding: 'search not completed', ...figures};
  }
  if (check.expected === 'holds') {
    return {passed: true, finding: 'holds, all states searched', ...figures};
  }
  return {passed: false, finding: 'no state violates it', ...figures};
}

/** Formats the result as one line for people. */
export function describe(check: Check, outcome: Outcome): string {
  const {passed, finding, states, seconds, megabytes} = outcome;
  const bounds = toFlags(check.bounds)
    .map(flag => flag.slice(2))
    .filter(flag => flag !== check.name)
    .join(' ');
  const figures = `${states} states, ${seconds} s, ${megabytes} MB`;
  const verdict = passed ? 'ok' : 'FAILED';
  return `${verdict} ${check.specification}: ${check.name} [${bounds}] ${figures}; ${finding}`;
}

async function main(): Promise<void> {
  let failures = 0;
  const limit = pLimit(searchesAtOnce);
  const searches = checks.map(check =>
    limit(async () => {
      const outcome = await run(check);
      if (!outcome.passed) failures++;
      process.stdout.write(`${describe(check, outcome)}\n`);
    }),
  );
  await Promise.all(searches);
  process.stdout.write(`${checks.length - failures} ok, ${failures} failed\n`);
  process.exitCode = failures === 0 ? 0 : 1;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
