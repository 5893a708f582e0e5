/** One program of a bench or test, started as a process and ended by its id. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** How one program is started. */
export interface ProgramOptions {
  readonly name: string;
  /** Path of the program, then its arguments. */
  readonly command: readonly string[];
  /** The folder it runs in. */
  readonly folder: string;
}

/** A started program. */
export interface Program {
  readonly name: string;
  readonly id: number;
  /** What it wrote to standard error so far, its last 64 KiB. */
  log(): string;
  /** Sends TERM and resolves with the exit code. */
  stop(): Promise<number>;
  /** Sends a signal; KILL, STOP and CONT make failures. */
  signal(name: NodeJS.Signals): void;
  /** Whether its death was asked for with KILL. */
  wasKilled(): boolean;
  /** Resolves with the exit code, or 128 for a death by signal. */
  ended(): Promise<number>;
}

const keptLog = 64 * 1024;
const killedCode = 128;

/** Starts a program. */
export function startProgram(options: ProgramOptions): Program {
  const [path, ...words] = options.command;
  const child = spawn(path!, words, {
    cwd: options.folder,
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  running.add(child);
  child.once('exit', () => running.delete(child));
  let log = '';
  let killed = false;
  child.stderr.on('data', (chunk: Buffer) => {
    log = (log + chunk.toString()).slice(-keptLog);
  });
  return {
    name: options.name,
    id: child.pid!,
    log: () => log,
    async stop() {
      child.kill('SIGTERM');
      return ended(child);
    },
    signal(name) {
      killed ||= name === 'SIGKILL';
      child.kill(name);
    },
    wasKilled: () => killed,
    ended: () => ended(child),
  };
}

const running = new Set<ChildProcess>();

/**
 * A test run that is cut short must leave nothing behind: its programs would
 * go on holding their ports and answer the next run's calls.
 */
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

async function ended(child: ChildProcess): Promise<number> {
  if (child.exitCode === null && child.signalCode === null) {
    await once(child, 'exit');
  }
  return child.exitCode ?? killedCode;
}

/** Runs a program to its end and gives what it printed. */
export interface ProgramResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs a program that ends by itself. */
export async function runProgram(
  options: ProgramOptions,
): Promise<ProgramResult> {
  const [path, ...words] = options.command;
  const child = spawn(path!, words, {
    cwd: options.folder,
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let errors = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number | null];
  return {code: code ?? killedCode, output, errors};
}
