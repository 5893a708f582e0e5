import {readFile} from 'node:fs/promises';
import {configurationCodes} from '../configuration/codes.js';
import type {Answer, Command, Edit} from '../configuration/messages.js';
import {parseEdits} from '../language/parse.js';
import {renderProblem} from '../language/problem.js';
import type {CommandId, Prefix, Statement} from '../language/statement.js';
import type {OperatorClient} from './create-operator-client.js';
import {
  codeExitCode,
  operatorExitCodes,
  refusalExitCode,
} from './exit-codes.js';
import {languageHelp} from './help.js';
import type {Reply, WaitResult} from './messages.js';
import {
  renderControl,
  renderFleet,
  renderHistory,
  renderInForce,
  renderItems,
} from './render.js';

/** The result of a command. */
export interface Outcome {
  readonly exitCode: number;
  /** Text for people; ends with a line break. */
  readonly text: string;
  /** Result for programs. */
  readonly json: unknown;
}

/** What the commands of one invocation share. */
export interface Session {
  readonly client: OperatorClient;
  /** Returns a new id, with a sequence above `above`. */
  nextId(above?: number): CommandId;
  /**
   * Reports the id before a change is sent, so that it is known if no answer
   * arrives.
   */
  announce(id: CommandId): void;
}

/** Runs one command of the operators' language. */
export async function runStatement(
  session: Session,
  statement: Statement,
): Promise<Outcome> {
  const {client} = session;
  switch (statement.kind) {
    case 'change':
      return runChange(session, statement, statement.edits);
    case 'apply':
      return runApply(session, statement, statement.file);
    case 'show': {
      const {items, name} = statement;
      return present(await client.items(items, name), renderItems);
    }
    case 'show-in-force':
      return present(await client.inForce(), renderInForce);
    case 'show-control':
      return runShowControl(client);
    case 'history':
      return present(await client.history(statement.count), renderHistory);
    case 'wait': {
      const {version, within} = statement;
      return runWait(await client.wait(version, within));
    }
    case 'replace': {
      const {leaving, joining} = statement;
      const replaced = await client.replace(leaving, joining);
      const text = `${joining.name} has replaced ${leaving}\n`;
      return present(replaced, () => text);
    }
    case 'accept-loss': {
      const {service} = statement;
      const reply = await client.acceptLoss(service);
      if (!reply.ok) return present(reply, () => '');
      return presentAnswer(`loss of ${service}`, reply.value);
    }
    case 'help':
      return present({ok: true, value: null}, () => languageHelp);
  }
}

async function runApply(
  session: Session,
  prefix: Prefix,
  file: string,
): Promise<Outcome> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch {
    return misuse(`${file} cannot be read; give the path of a file of edits`);
  }
  const parsed = parseEdits(text);
  if (parsed.ok) return runChange(session, prefix, parsed.value);
  return misuse(`${file}:\n${renderProblem(text, parsed.problem)}`);
}

async function runChange(
  session: Session,
  prefix: Prefix,
  edits: readonly Edit[],
): Promise<Outcome> {
  const {id, expectedVersion} = prefix;
  const change =
    expectedVersion === undefined ? {edits} : {expectedVersion, edits};
  if (id !== undefined) return sendChange(session, {...id, ...change});
  const command = {...session.nextId(), ...change};
  return sendChange(session, command, maxRenewals);
}

/** How often a new command may be sent again under a higher sequence. */
const maxRenewals = 5;

/**
 * Sends a command. One operator may use several VMs, whose clocks differ or
 * give the same microsecond, so a new sequence may already be used or expired.
 * If the first attempt is refused for this reason, the command has certainly
 * not run, and it is sent again under a higher sequence, at most `renewals`
 * times.
 */
async function sendChange(
  session: Session,
  command: Command,
  renewals = 0,
): Promise<Outcome> {
  session.announce(command);
  const reply = await session.client.change(command);
  const id = `${command.operator}/${command.sequence}`;
  if (!reply.ok) return presentRefusedChange(id, reply);
  const {isResent, highest, ...answer} = reply.value;
  const isSequenceUsed = highest !== undefined && !isResent;
  if (!isSequenceUsed || renewals === 0) return presentAnswer(id, answer);
  const renewed = {...command, ...session.nextId(highest)};
  return sendChange(session, renewed, renewals - 1);
}

function presentAnswer(id: string, answer: Answer): Outcome {
  const {code, message, version} = answer;
  const exitCode = codeExitCode(code);
  const text =
    exitCode === operatorExitCodes.accepted
      ? `version ${version}: ${message} (${id})\n`
      : `${outcomeNames[exitCode]}, ${code}: ${message} (${id})\n`;
  return {exitCode, text, json: {id, code, message, version}};
}

function presentRefusedChange(
  id: string,
  reply: Reply<unknown> & {ok: false},
): Outcome {
  const outcome = present(reply, () => '');
  const json = {id, ...(outcome.json as object)};
  if (outcome.exitCode !== operatorExitCodes.unknown) return {...outcome, json};
  const text = `${outcome.text}resend it with "as ${id}" in front\n`;
  return {...outcome, text, json};
}

async function runShowControl(client: OperatorClient): Promise<Outcome> {
  const views = await client.control();
  const isAnswered = views.some(view => view.ok);
  return {
    exitCode: isAnswered
      ? operatorExitCodes.accepted
      : operatorExitCodes.unreachable,
    text: renderControl(views),
    json: views,
  };
}

function runWait(reply: Reply<WaitResult>): Outcome {
  if (!reply.ok) return present(reply, () => '');
  const {inForce, summary} = reply.value;
  return {
    exitCode: inForce ? operatorExitCodes.accepted : operatorExitCodes.refused,
    text: renderFleet(summary),
    json: inForce ? reply.value : {...describeNotYetInForce(), ...reply.value},
  };
}

function describeNotYetInForce() {
  const {number, name} = configurationCodes.notYetInForce;
  return {code: number, name};
}

function present<T>(reply: Reply<T>, render: (value: T) => string): Outcome {
  if (reply.ok) {
    const {value} = reply;
    const exitCode = operatorExitCodes.accepted;
    return {exitCode, text: render(value), json: value};
  }
  const {refusal} = reply;
  const exitCode = refusalExitCode(refusal);
  const text = `${outcomeNames[exitCode]}, ${refusal.code}: ${refusal.message}\n`;
  return {exitCode, text, json: refusal};
}

const outcomeNames: Readonly<Record<number, string>> = {
  [operatorExitCodes.refused]: 'refused',
  [operatorExitCodes.conflict]: 'conflict',
  [operatorExitCodes.unknown]: 'outcome unknown',
  [operatorExitCodes.unreachable]: 'unreachable',
};

function misuse(message: string): Outcome {
  const exitCode = operatorExitCodes.usage;
  return {exitCode, text: `${message}\n`, json: {message}};
}
