import process from 'node:process';
import {runOperatorCommand as run} from '../operator/run-operator-command.js';

/** Runs an operator command on this process's streams and environment. */
export function runOperatorCommand(args: readonly string[]): Promise<number> {
  return run(args, {
    input: process.stdin,
    out: text => void process.stdout.write(text),
    error: text => void process.stderr.write(text),
    environment: process.env,
  });
}
