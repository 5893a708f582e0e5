import process from 'node:process';
import {runOperatorCommand as run} from '../operator/run-operator-command.js';

/** Runs an operator command with the streams and the environment of this process. */
export function runOperatorCommand(args: readonly string[]): Promise<number> {
  return run(args, {
    input: process.stdin,
    out: text => void process.stdout.write(text),
    error: text => void process.stderr.write(text),
    environment: process.env,
  });
}
