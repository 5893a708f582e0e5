import {defaults} from '../../settings/defaults.js';
import {digestOfKey} from '../../workspaces/key-digest.js';
import type {ConfigurationMachine} from '../create-configuration-machine.js';
import type {Quota} from '../configuration.js';
import {createConfigurationMachine} from '../create-configuration-machine.js';
import type {MachineSafeguards} from '../create-configuration-machine.js';
import type {Limits} from '../limits.js';
import {decodeAnswer} from '../log-entry.js';
import type {Answer, Command, Edit} from '../messages.js';

/** Helpers to create edits and machines in tests and benchmarks. */

export function putService(name: string, slowStart = 0): Edit {
  return {
    action: 'put',
    item: {kind: 'service', value: {name, slowStart}},
  };
}

export function putPolicy(name: string, deadline = 250): Edit {
  const value = {
    name,
    priority: 'normal',
    deadline,
    attempts: 1,
    repeatability: 'once',
    bodyLimit: 1024,
    objective: {target: 0.99, latency: deadline},
  } as const;
  return {action: 'put', item: {kind: 'policy', value}};
}

export function putRoute(
  name: string,
  service: string,
  policy: string,
  prefix = `/${name}`,
  methods: readonly string[] = [],
): Edit {
  const value = {name, prefix, methods, service, policy};
  return {action: 'put', item: {kind: 'route', value}};
}

export function putDrain(name: string, service: string): Edit {
  return {action: 'put', item: {kind: 'drain', value: {name, service}}};
}

/** The keys are stored as their digests. */
export function putWorkspace(
  name: string,
  keys: readonly string[],
  quota?: Quota,
): Edit {
  const digests = keys.map(digestOfKey).sort();
  const value = {name, keys: digests, ...(quota !== undefined && {quota})};
  return {action: 'put', item: {kind: 'workspace', value}};
}

/** Creates a machine with the default limits, overridden by `limits`. */
export function createSampleMachine(
  limits: Partial<Limits> = {},
  safeguards: Partial<MachineSafeguards> = {},
): ConfigurationMachine {
  return createConfigurationMachine({
    limits: {...defaults.limits, ...limits},
    safeguards,
  });
}

/** A machine with a log to which each command is appended. */
export interface LoggedMachine {
  readonly machine: ConfigurationMachine;
  readonly log: readonly Uint8Array[];
  /** Appends a command to the log and applies it. */
  send(command: Command): Answer;
  /** Sends edits as `operator` with a new sequence. */
  edit(edits: readonly Edit[], operator?: string): Answer;
}

/** Creates a machine with a log. */
export function createLoggedMachine(
  limits: Partial<Limits> = {},
  safeguards: Partial<MachineSafeguards> = {},
): LoggedMachine {
  const machine = createSampleMachine(limits, safeguards);
  const log: Uint8Array[] = [];
  let sequence = 0;

  function send(command: Command): Answer {
    const entry = machine.prepare(command, 1000);
    log.push(entry);
    return decodeAnswer(machine.apply(log.length, entry));
  }

  return {
    machine,
    log,
    send,
    edit: (edits, operator = 'amina') =>
      send({operator, sequence: ++sequence, edits}),
  };
}
