import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** Control processes on loopback, for tests of what a kill leaves behind. */
export interface ControlProcesses {
  readonly names: readonly string[];
  /** Operators' addresses in the order of the names. */
  readonly addresses: readonly string[];
  start(name: string): void;
  /** Ends a process at once, with SIGKILL; its data folder stays. */
  kill(name: string): Promise<void>;
  /** Freezes a process with SIGSTOP. */
  freeze(name: string): void;
  /** Lets a frozen process go on. */
  thaw(name: string): void;
  /** Ends all processes and removes their folders. */
  end(): Promise<void>;
}

const program = fileURLToPath(new URL('../../cli/bin.js', import.meta.url));

const failureDomains = ['hall-a', 'hall-b', 'hall-c'];

/** Writes settings for three control processes and starts them. */
export async function startControlProcesses(): Promise<ControlProcesses> {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const members = [];
  for (const [index, failureDomain] of failureDomains.entries()) {
    members.push({
      name: `control-${index + 1}`,
      peerAddress: await findAddress(),
      operatorAddress: await findAddress(),
      distributionAddress: await findAddress(),
      failureDomain,
    });
  }
  for (const member of members) {
    const settings = {
      role: 'control',
      region: 'astana',
      ...member,
      adminAddress: await findAddress(),
      dataFolder: join(folder, member.name),
      members,
    };
    await writeFile(fileOf(member.name), JSON.stringify(settings));
  }
  const running = new Map<string, ChildProcess>();

  function fileOf(name: string): string {
    return join(folder, `${name}.json`);
  }

  function start(name: string): void {
    const args = [program, 'control', fileOf(name)];
    running.set(name, spawn(process.execPath, args, {stdio: 'ignore'}));
  }

  async function kill(name: string): Promise<void> {
    const child = running.get(name);
    running.delete(name);
    if (child === undefined || child.exitCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }

  const names = members.map(({name}) => name);
  names.forEach(start);
  return {
    names,
    addresses: members.map(({operatorAddress}) => operatorAddress),
    start,
    kill,
    freeze: name => void running.get(name)?.kill('SIGSTOP'),
    thaw: name => void running.get(name)?.kill('SIGCONT'),
    async end() {
      await Promise.all(names.map(kill));
      await rm(folder, {recursive: true, force: true});
    },
  };
}

/** An address on loopback whose port is free at the moment. */
async function findAddress(): Promise<string> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}
