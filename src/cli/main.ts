import process from 'node:process';
import {parseArgs} from 'node:util';
import {createLog} from '../log/log.js';
import {resolveSettings} from '../settings/resolve.js';
import type {Settings} from '../settings/schema.js';
import {exitCodes} from './exit-codes.js';
import {keepYoungGenerationSmall} from './heap.js';
import {help} from './help.js';
import type {Loaders, RunRole} from './loaders.js';
import {handleStopSignals} from './stop-signals.js';
import {version} from './version.js';

/** Where the program writes; stand-ins in tests. */
export interface Output {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
}

type RoleName = Settings['role'];

const roleNames: readonly string[] = ['control', 'relay', 'node'];

/**
 * Runs the command line; resolves with the exit code, or with undefined when a
 * role runs on and its stop signal will end the process.
 */
export async function main(
  args: readonly string[],
  loaders: Loaders,
  output: Output,
): Promise<number | undefined> {
  const [command, ...rest] = args;
  if (command === undefined) return usage(output, 'a command is missing');
  if (command === '--help') return print(output, help);
  if (command === '--version') return print(output, `${version}\n`);
  if (roleNames.includes(command)) {
    return startRole(command as RoleName, rest, loaders, output);
  }
  if (command === 'check-settings') return checkSettings(rest, output);
  if (command === 'report') return (await loaders.report())(rest);
  return (await loaders.operator())(args);
}

function print(output: Output, text: string): number {
  output.out(text);
  return exitCodes.ok;
}

function usage(output: Output, problem: string): number {
  output.error(`foxbarrow: ${problem}; see foxbarrow --help\n`);
  return exitCodes.usage;
}

async function readSettings(
  args: readonly string[],
  output: Output,
): Promise<Settings | undefined> {
  const file = parseFile(args);
  if (file === undefined) {
    usage(output, 'give the path of one settings file');
    return undefined;
  }
  const settings = await resolveSettings(file);
  if (settings.ok) return settings.value;
  output.error(`foxbarrow: ${settings.message}\n`);
  return undefined;
}

function parseFile(args: readonly string[]): string | undefined {
  try {
    const {positionals} = parseArgs({args: [...args], allowPositionals: true});
    return positionals.length === 1 ? positionals[0] : undefined;
  } catch {
    return undefined;
  }
}

async function checkSettings(
  args: readonly string[],
  output: Output,
): Promise<number> {
  const settings = await readSettings(args, output);
  if (settings === undefined) return exitCodes.usage;
  return print(output, `settings of ${settings.role} ${settings.name}: good\n`);
}

async function startRole(
  role: RoleName,
  args: readonly string[],
  loaders: Loaders,
  output: Output,
): Promise<number | undefined> {
  const settings = await readSettings(args, output);
  if (settings === undefined) return exitCodes.usage;
  if (settings.role !== role) {
    return usage(output, `${args[0]} has the settings of a ${settings.role}`);
  }
  if (role === 'node') keepYoungGenerationSmall();
  return runRole(settings, await loaders[role]());
}

async function runRole(
  settings: Settings,
  run: RunRole,
): Promise<number | undefined> {
  const log = createLog(settings.name, settings.logLevel);
  try {
    const role = await run(settings);
    handleStopSignals({
      signals: process,
      stop: () => role.stop(settings.stopDeadline),
      exit: code => process.exit(code),
      log,
    });
    return undefined;
  } catch (error) {
    log.error('cannot start', {error: (error as Error).message});
    return exitCodes.failed;
  }
}
