import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {configurationCodes} from '../configuration/codes.js';
import {parseCommand, isIncompleteBlock} from '../language/parse.js';
import {renderProblem} from '../language/problem.js';
import type {Problem} from '../language/problem.js';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';
import {createOperatorClient} from './create-operator-client.js';
import type {OperatorClient} from './create-operator-client.js';
import {operatorExitCodes} from './exit-codes.js';
import {languageHelp, optionsHelp} from './help.js';
import {resolveOptions} from './options.js';
import type {Environment, OperatorOptions} from './options.js';
import {createSequenceGenerator} from './sequence.js';
import {runStatement} from './run-statement.js';
import type {Outcome, Session} from './run-statement.js';

/** Input, output and environment of an operator command. */
export interface Streams {
  readonly input: Readable;
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  readonly environment: Environment;
  /** Replaces the network client in tests. */
  readonly client?: OperatorClient;
  readonly timers?: Timers;
}

/** The command that reads commands from standard input. */
const shellCommand = 'shell';

/**
 * Runs the operator commands of one invocation and resolves with the exit code.
 */
export async function runOperatorCommand(
  args: readonly string[],
  streams: Streams,
): Promise<number> {
  const resolved = resolveOptions(args, streams.environment);
  if (!resolved.ok) return reportMisuse(streams, resolved.message);
  const options = resolved.value;
  if (options.help || options.words[0] === 'help') {
    streams.out(optionsHelp + languageHelp);
    return operatorExitCodes.accepted;
  }
  const missing = findMissing(options, streams);
  if (missing !== undefined) return reportMisuse(streams, missing);
  const session = createSession(options, streams);
  const run = (text: string) => runText(session, text, options, streams);
  const text = options.words.join(' ');
  try {
    return await (text === shellCommand ? runShell(streams, run) : run(text));
  } finally {
    await session.client.close();
  }
}

function reportMisuse(streams: Streams, problem: string): number {
  streams.error(`foxbarrow: ${problem}; see foxbarrow help\n`);
  return operatorExitCodes.usage;
}

function findMissing(
  options: OperatorOptions,
  streams: Streams,
): string | undefined {
  if (options.words.length === 0) return 'a command is missing';
  if (streams.client === undefined && options.addresses.length === 0) {
    return 'give a control process with --control or FOXBARROW_CONTROL';
  }
  return undefined;
}

function createSession(options: OperatorOptions, streams: Streams): Session {
  const timers = streams.timers ?? createTimers();
  const {addresses, token, timeout, operator} = options;
  const client =
    streams.client ?? createOperatorClient({addresses, token, timeout, timers});
  const nextSequence = createSequenceGenerator(timers);
  return {
    client,
    nextId: above => ({operator, sequence: nextSequence(above)}),
    announce: id => streams.error(`command ${id.operator}/${id.sequence}\n`),
  };
}

async function runText(
  session: Session,
  text: string,
  options: OperatorOptions,
  streams: Streams,
): Promise<number> {
  const parsed = parseCommand(text);
  if (!parsed.ok) {
    const outcome = describeProblem(text, parsed.problem);
    write(outcome, options, streams);
    return outcome.exitCode;
  }
  const statement = parsed.value;
  const isChange = statement.kind === 'change' || statement.kind === 'apply';
  if (isChange && statement.id === undefined && options.operator === '') {
    return reportMisuse(
      streams,
      'give the operator with --operator or FOXBARROW_OPERATOR',
    );
  }
  const outcome = await runStatement(session, statement);
  write(outcome, options, streams);
  return outcome.exitCode;
}

function describeProblem(text: string, problem: Problem): Outcome {
  const {number, name} = configurationCodes.syntax;
  return {
    exitCode: operatorExitCodes.usage,
    text: `${renderProblem(text, problem)}\n`,
    json: {code: number, name, ...problem},
  };
}

function write(
  outcome: Outcome,
  options: OperatorOptions,
  streams: Streams,
): void {
  if (options.json) {
    const {exitCode, json} = outcome;
    streams.out(`${JSON.stringify({exitCode, result: json})}\n`);
    return;
  }
  const isAccepted = outcome.exitCode === operatorExitCodes.accepted;
  if (isAccepted) streams.out(outcome.text);
  else streams.error(outcome.text);
}

/**
 * Runs each line, or each begin ... end block, and continues after a failure.
 */
async function runShell(
  streams: Streams,
  run: (text: string) => Promise<number>,
): Promise<number> {
  let highest: number = operatorExitCodes.accepted;
  let text = '';
  for await (const line of createInterface({input: streams.input})) {
    text += `${line}\n`;
    if (isIncompleteBlock(text)) continue;
    if (!isBlank(text)) highest = Math.max(highest, await run(text));
    text = '';
  }
  if (!isBlank(text)) highest = Math.max(highest, await run(text));
  return highest;
}

function isBlank(text: string): boolean {
  return /^\s*(#[^\n]*\s*)*$/.test(text);
}
