import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {isAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import {commonCodes} from '../result/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {parseDuration} from './duration.js';

/** Options of the burn report; times in milliseconds. */
export interface BurnOptions {
  /** Admin addresses of the nodes. */
  readonly nodes: readonly Address[];
  /** Operator addresses of control processes that give the objectives. */
  readonly control: readonly Address[];
  /** Token of the operators' API. */
  readonly token: string | undefined;
  /** File of objectives, used instead of `control`. */
  readonly objectivesFile: string | undefined;
  /** File that stores samples between runs; undefined to store none. */
  readonly samplesFile: string | undefined;
  /** How long to sample; 0 for one scrape. */
  readonly length: number;
  /** Interval between scrapes. */
  readonly every: number;
  /** Length of the budget period. */
  readonly period: number;
  readonly json: boolean;
  /** File for the HTML page. */
  readonly pageFile: string | undefined;
  readonly help: boolean;
}

/** Parses the arguments after `report`. */
export function resolveBurnOptions(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Result<BurnOptions> {
  try {
    return success(parseOptions(args, environment));
  } catch (error) {
    return failure(commonCodes.usage, (error as Error).message);
  }
}

function parseOptions(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): BurnOptions {
  const {values, positionals} = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      node: {type: 'string', multiple: true, default: []},
      nodes: {type: 'string'},
      control: {type: 'string', multiple: true},
      objectives: {type: 'string'},
      samples: {type: 'string'},
      for: {type: 'string'},
      every: {type: 'string', default: '10s'},
      period: {type: 'string', default: '30d'},
      json: {type: 'boolean', default: false},
      html: {type: 'string'},
      help: {type: 'boolean', default: false},
    },
  });
  if (positionals.length !== 1 || positionals[0] !== 'burn') {
    throw new Error('the only report is "burn"');
  }
  const controlLists = values.control ?? [
    environment['FOXBARROW_CONTROL'] ?? '',
  ];
  return {
    nodes: splitAddresses([...values.node, ...readNodes(values.nodes)]),
    control: splitAddresses(controlLists),
    token: environment['FOXBARROW_TOKEN'],
    objectivesFile: values.objectives,
    samplesFile: values.samples,
    length:
      values.for === undefined ? 0 : parseDurationOption('--for', values.for),
    every: parseDurationOption('--every', values.every),
    period: parseDurationOption('--period', values.period),
    json: values.json,
    pageFile: values.html,
    help: values.help,
  };
}

/** Reads a file with one admin address per line; `#` begins a comment. */
function readNodes(file: string | undefined): string[] {
  if (file === undefined) return [];
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    throw new Error(
      `--nodes ${file}: can't be read; it needs one address per line`,
    );
  }
  return text.split('\n').map(line => line.replace(/#.*$/, '').trim());
}

function splitAddresses(lists: readonly string[]): Address[] {
  const addresses = lists
    .flatMap(list => list.split(','))
    .filter(address => address !== '');
  for (const address of addresses) {
    if (isAddress(address)) continue;
    throw new Error(`${address}: give an IP number and a port`);
  }
  return [...new Set(addresses)];
}

function parseDurationOption(option: string, text: string): number {
  const length = parseDuration(text);
  if (length !== undefined) return length;
  throw new Error(`${option} ${text}: give a duration, such as 90s, 5m or 30d`);
}
