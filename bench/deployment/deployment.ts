/** A whole example deployment as processes on loopback. */
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

/** A node with the stand-in upstream beside it. */
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
  /** The folder in which the data folders lie. */
  readonly data: string;
  /** Runs one operator command. */
  operate(...words: readonly string[]): Promise<ProgramResult>;
  /** Starts a program again under its settings. */
  restart(name: string): Program;
  /** Stops all in a planned way; gives the names that did not exit with 0. */
  stop(): Promise<readonly string[]>;
  /**
   * Kills all at once, frozen ones too: the end of a test that judges no stop,
   * which would wait for keepers that no one is left to follow.
   */
  killAll(): Promise<void>;
}

/** How a deployment is started. */
export interface DeploymentOptions {
  /** Folder of settings files, such as `examples/qurm`. */
  readonly folder: string;
  /** Milliseconds that one piece of the upstreams' work takes. */
  readonly work: number;
  /** Work whose path or body holds this word ends its stand-in. */
  readonly crash?: string | undefined;
  /** The next stand-in's address; by default some ports above its node's. */
  readonly upstreamAddress?: () => string;
}

/** Ports from a node's caller address to its stand-in upstream's. */
const upstreamPortOffset = 5;

/** The program under test: the one binary when it is named, else modules. */
export function foxbarrowCommand(): readonly string[] {
  const binary = process.env['FOXBARROW_BINARY'];
  if (binary !== undefined && binary !== '') return [resolve(binary)];
  return [process.execPath, resolve('build/src/cli/bin.js')];
}

/** Starts control processes, nodes and stand-ins of all settings in a folder. */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const data = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const settings = await readAll(options.folder);
  const started = new Map<string, Program>();

  function start(one: Settings): Program {
    const file = resolve(options.folder, `${one.name}.json`);
    const command = [...foxbarrowCommand(), one.role, file];
    const program = startProgram({name: one.name, command, folder: data});
    started.set(one.name, program);
    return program;
  }

  const upstreams = new Map<string, readonly string[]>();

  function startUpstream(name: string, command: readonly string[]): Program {
    const program = startProgram({name, command, folder: data});
    upstreams.set(name, command);
    started.set(name, program);
    return program;
  }

  function restart(name: string): Program {
    const command = upstreams.get(name);
    if (command !== undefined) return startUpstream(name, command);
    return start(settings.find(one => one.name === name)!);
  }

  function startPlace(one: NodeSettings): DeployedInstance {
    const service = one.name.replace(/-\d+$/, '');
    const upstreamAddress = options.upstreamAddress?.() ?? besides(one);
    const node = start(one);
    const command = [
      process.execPath,
      resolve('build/bench/upstreams/main.js'),
      ...['--service', service, '--address', upstreamAddress],
      ...['--announce', one.announceAddress!, '--instance', one.name],
      ...['--work', String(options.work)],
      ...(options.crash === undefined ? [] : ['--crash', options.crash]),
    ];
    const upstream = startUpstream(`upstream of ${one.name}`, command);
    return {settings: one, service, node, upstream, upstreamAddress};
  }

  const controls = settings.filter(isControl);
  const places = settings.filter(isNode);
  const controlPrograms = controls.map(start);
  const relays = settings.filter(({role}) => role === 'relay').map(start);
  const startedPlaces = places.map(startPlace);
  const operators = controls.map(({operatorAddress}) => operatorAddress);

  return {
    controls: controlPrograms,
    relays,
    controlSettings: controls,
    data,
    instances: startedPlaces,
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

function besides({callerAddress}: NodeSettings): string {
  const {host, port} = parseAddress(callerAddress);
  return `${host}:${port + upstreamPortOffset}`;
}

async function readAll(folder: string): Promise<Settings[]> {
  const names = await readdir(folder);
  const files = names.filter(name => name.endsWith('.json'));
  return Promise.all(files.map(name => readOne(join(folder, name))));
}

async function readOne(file: string): Promise<Settings> {
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
