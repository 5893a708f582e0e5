import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import type {Address} from '../src/link/link.js';

/** A whole deployment as processes of their own on loopback. */

/** What `startDeployment` starts. */
export interface DeploymentOptions {
  /** Settings, data and logs go here. */
  readonly folder: string;
  /** First port; 10 for each process follow. */
  readonly port: number;
  /** The program and its first arguments. */
  readonly program: readonly string[];
  readonly services: ReadonlyArray<{
    readonly name: string;
    readonly instances: number;
  }>;
  /** Operator commands that set it up, one change each. */
  readonly setup: readonly string[];
}

/** A running deployment. */
export interface Deployment {
  /** Where callers reach the nodes. */
  readonly entries: readonly Address[];
  /** Admin addresses of the nodes. */
  readonly admins: readonly Address[];
  /** Operators' addresses. */
  readonly control: readonly Address[];
  /** Where the stand-in upstreams listen, in the order of the nodes. */
  readonly upstreams: readonly Address[];
  /** Processes by name: `control-1`, `crewbook-1`, `crewbook-1-upstream`. */
  readonly processes: ReadonlyMap<string, ChildProcess>;
  /** Runs one command of the program; gives its output, or throws. */
  run(...args: string[]): Promise<string>;
  /** Stops everything; gives the exit code of each process. */
  stop(): Promise<ReadonlyMap<string, number | null>>;
}

const host = '127.0.0.1';
const portsPerProcess = 10;
const failureDomains = ['domain-a', 'domain-b', 'domain-c'];

/** Milliseconds within which a process must be ready. */
const patience = 20_000;

/** The program as the compiled modules run it. */
export const compiledProgram = [process.execPath, 'build/src/cli/bin.js'];

/** The program as it ships. */
export const shippedProgram = ['dist/foxbarrow'];

/** Starts three control processes, a node and an upstream for each instance. */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const {folder, program} = options;
  await mkdir(folder, {recursive: true});
  const processes = new Map<string, ChildProcess>();
  const members = failureDomains.map((failureDomain, index) =>
    describeMember(
      options.port + index * portsPerProcess,
      failureDomain,
      index,
    ),
  );
  const nodes = describeNodes(options, members);

  async function start(name: string, command: readonly string[]) {
    const log = createWriteStream(join(folder, `${name}.log`));
    await once(log, 'open');
    const [file, ...args] = command;
    processes.set(name, spawn(file!, args, {stdio: ['ignore', log, log]}));
  }

  async function startRole(settings: {name: string; role: string}) {
    const file = join(folder, `${settings.name}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    await start(settings.name, [...program, settings.role, file]);
  }

  const control = members.map(member => member.operatorAddress);
  const run = (...args: string[]) => runCommand(program, control, args);

  for (const member of members) {
    await startRole(controlSettings(member, members, folder));
  }
  await Promise.all(members.map(member => untilReady(adminOf(member))));
  for (const command of options.setup) await run(command);
  for (const node of nodes) {
    await startRole(node.settings);
    await start(`${node.settings.name}-upstream`, upstreamCommand(node));
  }
  await Promise.all(nodes.map(node => untilReady(node.settings.adminAddress)));

  async function stop() {
    const codes = new Map<string, number | null>();
    const ends = [...processes].map(async ([name, child]) => {
      codes.set(name, await end(child));
    });
    await Promise.all(ends);
    return codes;
  }

  return {
    entries: nodes.map(node => node.settings.callerAddress),
    admins: nodes.map(node => node.settings.adminAddress),
    control,
    upstreams: nodes.map(node => node.upstream),
    processes,
    run,
    stop,
  };
}

type Member = ReturnType<typeof describeMember>;
type Node = ReturnType<typeof describeNodes>[number];

function describeMember(port: number, failureDomain: string, index: number) {
  return {
    name: `control-${index + 1}`,
    peerAddress: `${host}:${port}`,
    operatorAddress: `${host}:${port + 1}`,
    distributionAddress: `${host}:${port + 2}`,
    failureDomain,
  };
}

function adminOf(member: Member): Address {
  return `${host}:${Number(member.peerAddress.split(':')[1]) + 3}`;
}

function controlSettings(
  member: Member,
  members: readonly Member[],
  folder: string,
) {
  return {
    role: 'control',
    ...member,
    region: 'region-a',
    dataFolder: join(folder, 'data', member.name),
    adminAddress: adminOf(member),
    batchWindow: 20,
    members,
  };
}

function describeNodes(options: DeploymentOptions, members: readonly Member[]) {
  const names = options.services.flatMap(({name, instances}) =>
    Array.from({length: instances}, (_, index) => ({
      service: name,
      name: `${name}-${index + 1}`,
    })),
  );
  return names.map(({service, name}, index) => {
    const port = options.port + (index + members.length) * portsPerProcess;
    const settings = {
      role: 'node',
      name,
      region: 'region-a',
      failureDomain: failureDomains[index % failureDomains.length]!,
      callerAddress: `${host}:${port}`,
      gateAddress: `${host}:${port + 1}`,
      announceAddress: `${host}:${port + 2}`,
      adminAddress: `${host}:${port + 3}`,
      keeperAddress: `${host}:${port + 4}`,
      homes: members.map(member => member.distributionAddress),
    };
    return {service, settings, upstream: `${host}:${port + 5}`};
  });
}

function upstreamCommand(node: Node): string[] {
  return [
    process.execPath,
    'build/bench/upstreams/main.js',
    ...['--service', node.service],
    ...['--address', node.upstream],
    ...['--announce', node.settings.announceAddress],
    ...['--instance', node.settings.name],
  ];
}

async function untilReady(admin: Address): Promise<void> {
  const end = Date.now() + patience;
  while (Date.now() < end) {
    if (await isReady(admin)) return;
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  throw new Error(`the process at ${admin} did not become ready`);
}

async function isReady(admin: Address): Promise<boolean> {
  try {
    const answer = await request(`http://${admin}/ready`);
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

async function runCommand(
  program: readonly string[],
  control: readonly Address[],
  args: readonly string[],
): Promise<string> {
  const [file, ...first] = program;
  const child = spawn(file!, [...first, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {
      ...process.env,
      FOXBARROW_CONTROL: control.join(','),
      FOXBARROW_OPERATOR: 'bench',
    },
  });
  let out = '';
  let errors = '';
  child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number | null];
  if (code === 0) return out;
  throw new Error(`foxbarrow ${args.join(' ')}: exit ${code}: ${errors}`);
}

async function end(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  const exited = once(child, 'exit');
  child.kill('SIGTERM');
  await exited;
  return child.exitCode;
}
