import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {isAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import {commonCodes} from '../result/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';

/** Options of an operator command. */
export interface OperatorOptions {
  readonly addresses: readonly Address[];
  readonly operator: string;
  readonly token?: string;
  /** How long a command is tried, in milliseconds. */
  readonly timeout: number;
  readonly json: boolean;
  readonly help: boolean;
  /** The words of the command. */
  readonly words: readonly string[];
}

/** Default of --timeout, in seconds. */
const defaultTimeout = 10;

/** Environment variables of the process. */
export interface Environment {
  readonly [name: string]: string | undefined;
}

/**
 * Reads the options of an operator command from its arguments and the
 * environment.
 */
export function resolveOptions(
  args: readonly string[],
  environment: Environment,
): Result<OperatorOptions> {
  try {
    return success(readOptions(args, environment));
  } catch (error) {
    return failure(commonCodes.usage, describeMisuse(args, error as Error));
  }
}

/** The usual message names the option, which may be a key of a workspace. */
function describeMisuse(args: readonly string[], error: Error): string {
  const isFromParser = 'code' in error;
  if (!isFromParser || !args.includes('keys')) return error.message;
  return 'an option is unknown or has no value; put -- before the command if a key starts with -';
}

function readOptions(
  args: readonly string[],
  environment: Environment,
): OperatorOptions {
  const {values, positionals} = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      control: {type: 'string', multiple: true},
      operator: {type: 'string'},
      'token-file': {type: 'string'},
      timeout: {type: 'string'},
      json: {type: 'boolean', default: false},
      help: {type: 'boolean', default: false},
    },
  });
  const addressLists = values.control ?? [
    environment['FOXBARROW_CONTROL'] ?? '',
  ];
  const addresses = addressLists
    .flatMap(list => list.split(','))
    .filter(address => address !== '');
  addresses.forEach(checkAddress);
  return {
    addresses,
    operator: values.operator ?? environment['FOXBARROW_OPERATOR'] ?? '',
    token: readToken(values['token-file'], environment),
    timeout: toMilliseconds(values.timeout),
    json: values.json,
    help: values.help,
    words: positionals,
  };
}

function checkAddress(address: Address): void {
  if (isAddress(address)) return;
  throw new Error(`--control ${address}: give an IP number and a port`);
}

function readToken(
  file: string | undefined,
  environment: Environment,
): string | undefined {
  if (file === undefined) return environment['FOXBARROW_TOKEN'];
  try {
    return readFileSync(file, 'utf8').trim();
  } catch {
    throw new Error(`--token-file ${file}: the file cannot be read`);
  }
}

function toMilliseconds(seconds: string | undefined): number {
  const value = Number(seconds ?? defaultTimeout);
  if (value > 0) return value * 1000;
  throw new Error(`--timeout ${seconds}: give a number of seconds`);
}
