/** Starts a complete example deployment as processes on loopback. */
import {mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {parseAddress} from '../../src/link/address.js';
import type {
  ControlSettings,
  NodeSettings,
  Settings,
} from '../../src/settings/schema.js';
import {resolveSettings} from '../../src/settings/resolve.js';
import {runProgram, startProgram} from './program.js';
import type {ProgramResult, Program} from './program.js';

/** An instance of a service: a node and the stand-in upstream beside it. */
export interface DeployedInstance {
  readonly settings: NodeSettings;
  readonly service: string;
  readonly node: Program;
  readonly upstream: Program;
  readonly upstreamAddress: string;
}

/** A running deployment. */
export interface Deployment {
  readonly controls: readonly Program[];
  readonly relays: readonly Program[];
  readonly instances: readonly DeployedInstance[];
  /** The settings of the control processes, in the order of `controls`. */
  readonly controlSettings: readonly ControlSettings[];
  /** The working folder of all processes; contains their data folders. */
  readonly data: string;
  /** Runs one operator command. */
  operate(...words: readonly string[]): Promise<ProgramResult>;
  /** Starts a program again with the same settings. */
  restart(name: string): Program;
  /**
   * Stops all processes with SIGTERM; returns those that did not exit with 0.
   */
  stop(): Promise<readonly string[]>;
  /**
   * Kills all processes immediately, including suspended ones. For tests that
   * do not check the planned stop, which waits for keepers to hand over their
   * claims even if no successor is running.
   */
  killAll(): Promise<void>;
}

/** Options of startDeployment. */
export interface DeploymentOptions {
  /** Folder of settings files, such as `examples/qurm`. */
  readonly folder: string;
  /** Duration of one piece of the upstreams' work, in milliseconds. */
  readonly work: number;
  /** A request whose path or body contains this word crashes its upstream. */
  readonly crash?: string | undefined;
  /** Further options of the upstream beside a node, by the node's name. */
  readonly upstreamOptions?: ((node: string) => readonly string[]) | undefined;
  /**
   * Returns the next upstream's address; default: some ports above its node's.
   */
  readonly upstreamAddress?: () => string;
  /**
   * Called with the standard output of a control process, relay or node, which
   * is discarded by default.
   */
  readonly onOutput?: ((program: string, text: string) => void) | undefined;
}

/** Distance from the port for a node's callers to its upstream's port. */
const upstreamPortOffset = 5;

/**
 * Command line of the program under test: the binary that FOXBARROW_BINARY
 * names, or the compiled modules.
 */
export function foxbarrowCommand(): readonly string[] {
  const binary = process.env['FOXBARROW_BINARY'];
  if (binary !== undefined && binary !== '') return [resolve(binary)];
  return [process.execPath, resolve('build/src/cli/bin.js')];
}

/**
 * Starts the control processes, relays and nodes of all settings in a folder,
 * and an upstream beside each node.
 */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const data = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const settings = await readAllSettings(options.folder);
  const started = new Map<string, Program>();

  function start(processSettings: Settings): Program {
    const file = resolve(options.folder, `${processSettings.name}.json`);
    const command = [...foxbarrowCommand(), processSettings.role, file];
    const {name} = processSettings;
    const program = startProgram({
      name,
      command,
      folder: data,
      ...(options.onOutput !== undefined && {
        onOutput: text => options.onOutput!(name, text),
      }),
    });
    started.set(name, program);
    return program;
  }

  const upstreamCommands = new Map<string, readonly string[]>();

  function startUpstream(name: string, command: readonly string[]): Program {
    const program = startProgram({name, command, folder: data});
    upstreamCommands.set(name, command);
    started.set(name, program);
    return program;
  }

  function restart(name: string): Program {
    const command = upstreamCommands.get(name);
    if (command !== undefined) return startUpstream(name, command);
    return start(settings.find(one => one.name === name)!);
  }

  function startInstance(nodeSettings: NodeSettings): DeployedInstance {
    const service = nodeSettings.name.replace(/-\d+$/, '');
    const upstreamAddress =
      options.upstreamAddress?.() ?? defaultUpstreamAddress(nodeSettings);
    const node = start(nodeSettings);
    const command = [
      process.execPath,
      resolve('build/bench/upstreams/main.js'),
      ...['--service', service, '--address', upstreamAddress],
      ...[
        '--announce',
        nodeSettings.announceAddress!,
        '--instance',
        nodeSettings.name,
      ],
      ...['--work', String(options.work)],
      ...(options.crash === undefined ? [] : ['--crash', options.crash]),
      ...(options.upstreamOptions?.(nodeSettings.name) ?? []),
    ];
    const upstream = startUpstream(`upstream of ${nodeSettings.name}`, command);
    return {settings: nodeSettings, service, node, upstream, upstreamAddress};
  }

  const controls = settings.filter(isControl);
  const nodes = settings.filter(isNode);
  const controlPrograms = controls.map(start);
  const relays = settings.filter(({role}) => role === 'relay').map(start);
  const startedInstances = nodes.map(startInstance);
  const operators = controls.map(({operatorAddress}) => operatorAddress);

  return {
    controls: controlPrograms,
    relays,
    controlSettings: controls,
    data,
    instances: startedInstances,
    operate: (...words) =>
      runProgram({
        name: 'operator',
        command: [
          ...foxbarrowCommand(),
          ...['--control', operators.join(','), '--operator', 'demo'],
          ...words,
        ],
        folder: process.cwd(),
      }),
    restart,
    async stop() {
      const failed: string[] = [];
      const stopOne = async (program: Program) => {
        const code = await program.stop();
        if (code !== 0) failed.push(`${program.name} (${code})`);
      };
      const stopAll = (programs: readonly Program[]) =>
        Promise.all(programs.map(stopOne));
      const all = [...started.values()].filter(program => !program.wasKilled());
      await stopAll(all.filter(({name}) => name.startsWith('upstream of')));
      await stopAll(all.filter(({name}) => !name.startsWith('upstream of')));
      await rm(data, {recursive: true, force: true});
      return failed;
    },
    async killAll() {
      const all = [...started.values()];
      for (const program of all) program.signal('SIGKILL');
      await Promise.all(all.map(program => program.ended()));
      await rm(data, {recursive: true, force: true});
    },
  };
}

function defaultUpstreamAddress({callerAddress}: NodeSettings): string {
  const {host, port} = parseAddress(callerAddress);
  return `${host}:${port + upstreamPortOffset}`;
}

async function readAllSettings(folder: string): Promise<Settings[]> {
  const names = await readdir(folder);
  const files = names.filter(name => name.endsWith('.json'));
  return Promise.all(files.map(name => readSettings(join(folder, name))));
}

async function readSettings(file: string): Promise<Settings> {
  const result = await resolveSettings(file);
  if (!result.ok) throw new Error(result.message);
  return result.value;
}

function isControl(settings: Settings): settings is ControlSettings {
  return settings.role === 'control';
}

function isNode(settings: Settings): settings is NodeSettings {
  return settings.role === 'node';
}
