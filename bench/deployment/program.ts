/** Runs the programs of benches and tests as child processes. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** Options of startProgram and runProgram. */
export interface ProgramOptions {
  readonly name: string;
  /** Path of the program, then its arguments. */
  readonly command: readonly string[];
  /** The working directory. */
  readonly folder: string;
  /**
   * Called with the program's standard output, which is discarded by default;
   * not used by runProgram.
   */
  readonly onOutput?: ((text: string) => void) | undefined;
}

/** A program that was started. */
export interface Program {
  readonly name: string;
  readonly id: number;
  /** The last 64 KiB of its standard error so far. */
  log(): string;
  /** Sends SIGTERM and resolves with the exit code. */
  stop(): Promise<number>;
  /** Sends a signal; SIGKILL, SIGSTOP and SIGCONT simulate failures. */
  signal(name: NodeJS.Signals): void;
  /** Whether `signal` sent SIGKILL. */
  wasKilled(): boolean;
  /** Resolves with the exit code, or 128 if a signal ended the process. */
  ended(): Promise<number>;
}

const maxLogLength = 64 * 1024;
const killedCode = 128;

/** Starts a program. */
export function startProgram(options: ProgramOptions): Program {
  const [path, ...parameters] = options.command;
  const {onOutput} = options;
  const child = spawn(path!, parameters, {
    cwd: options.folder,
    stdio: ['ignore', onOutput === undefined ? 'ignore' : 'pipe', 'pipe'],
  });
  child.stdout?.on('data', (chunk: Buffer) => onOutput!(chunk.toString()));
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
  let log = '';
  let killed = false;
  child.stderr!.on('data', (chunk: Buffer) => {
    log = (log + chunk.toString()).slice(-maxLogLength);
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

const runningChildren = new Set<ChildProcess>();

/**
 * Kills the programs of an aborted test run. They would otherwise keep their
 * ports occupied and answer the calls of the next run.
 */
process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

async function ended(child: ChildProcess): Promise<number> {
  if (child.exitCode === null && child.signalCode === null) {
    await once(child, 'exit');
  }
  return child.exitCode ?? killedCode;
}

/** The exit code and output of a program. */
export interface ProgramResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs a program until it exits. */
export async function runProgram(
  options: ProgramOptions,
): Promise<ProgramResult> {
  const [path, ...parameters] = options.command;
  const child = spawn(path!, parameters, {
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
