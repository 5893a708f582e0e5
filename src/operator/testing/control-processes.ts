import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {reservePorts} from '../../../bench/deployment/ports.js';
import type {PortRange} from '../../../bench/deployment/ports.js';

/**
 * Control processes on the loopback interface, for tests that kill processes.
 */
export interface ControlProcesses {
  /** Names of the initial members. */
  readonly names: readonly string[];
  /** Operators' addresses, in the order of the names. */
  readonly addresses: readonly string[];
  start(name: string): void;
  /** Kills a process with SIGKILL; its data folder is kept. */
  kill(name: string): Promise<void>;
  /** Kills a process and removes its data folder. */
  destroy(name: string): Promise<void>;
  /** Starts a process that is to replace `leaving`. */
  join(name: string, leaving: string): Promise<ControlMember>;
  /** Suspends a process with SIGSTOP. */
  suspend(name: string): void;
  /** Resumes a suspended process. */
  resume(name: string): void;
  /** Kills all processes and removes their folders. */
  end(): Promise<void>;
}

/** A control process as listed in the settings. */
export interface ControlMember {
  readonly name: string;
  readonly peerAddress: string;
  readonly operatorAddress: string;
  readonly distributionAddress: string;
  readonly failureDomain: string;
}

const program = fileURLToPath(new URL('../../cli/bin.js', import.meta.url));

const failureDomains = ['hall-a', 'hall-b', 'hall-c'];

const children = new Set<ChildProcess>();

/** An interrupted test run must not leave processes behind. */
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** Writes settings for three control processes and starts them. */
export async function startControlProcesses(): Promise<ControlProcesses> {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const ports = await reservePorts();
  const running = new Map<string, ChildProcess>();
  const members: ControlMember[] = [];
  for (const [index, failureDomain] of failureDomains.entries()) {
    members.push(createMember(`control-${index + 1}`, failureDomain, ports));
  }

  function settingsFile(name: string): string {
    return join(folder, `${name}.json`);
  }

  async function writeSettings(
    member: ControlMember,
    group: readonly ControlMember[],
  ): Promise<void> {
    const settings = {
      role: 'control',
      region: 'astana',
      ...member,
      adminAddress: ports.nextAddress(),
      dataFolder: join(folder, member.name),
      members: group,
    };
    await writeFile(settingsFile(member.name), JSON.stringify(settings));
  }

  function start(name: string): void {
    const args = [program, 'control', settingsFile(name)];
    const child = spawn(process.execPath, args, {stdio: 'ignore'});
    children.add(child);
    child.once('exit', () => children.delete(child));
    running.set(name, child);
  }

  async function kill(name: string): Promise<void> {
    const child = running.get(name);
    running.delete(name);
    if (child === undefined || child.exitCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }

  async function destroy(name: string): Promise<void> {
    await kill(name);
    await rm(join(folder, name), {recursive: true, force: true});
  }

  async function joinGroup(
    name: string,
    leaving: string,
  ): Promise<ControlMember> {
    const replaced = members.find(member => member.name === leaving)!;
    const member = createMember(name, replaced.failureDomain, ports);
    const others = members.filter(each => each !== replaced);
    await writeSettings(member, [...others, member]);
    start(name);
    return member;
  }

  for (const member of members) {
    await writeSettings(member, members);
    start(member.name);
  }
  return {
    names: members.map(({name}) => name),
    addresses: members.map(({operatorAddress}) => operatorAddress),
    start,
    kill,
    destroy,
    join: joinGroup,
    suspend: name => void running.get(name)?.kill('SIGSTOP'),
    resume: name => void running.get(name)?.kill('SIGCONT'),
    async end() {
      await Promise.all([...running.keys()].map(kill));
      ports.release();
      await rm(folder, {recursive: true, force: true});
    },
  };
}

function createMember(
  name: string,
  failureDomain: string,
  ports: PortRange,
): ControlMember {
  return {
    name,
    peerAddress: ports.nextAddress(),
    operatorAddress: ports.nextAddress(),
    distributionAddress: ports.nextAddress(),
    failureDomain,
  };
}
