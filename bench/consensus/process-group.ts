import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import type {Member} from '../../src/consensus/consensus.js';
import {reservePorts} from '../deployment/ports.js';
import type {HostOptions, Reply, Request, View} from './messages.js';

/**
 * A control group of processes on loopback, each with a data folder on disk.
 */
export interface ProcessGroup {
  readonly names: readonly string[];
  memberOf(name: string): Member;
  start(name: string): Promise<void>;
  /** Kills a process with SIGKILL. */
  kill(name: string): Promise<void>;
  /** Stops a process gracefully. */
  stopOne(name: string): Promise<void>;
  /** Sends SIGSTOP or SIGCONT. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void;
  /** Removes a member's data folder. */
  wipe(name: string): Promise<void>;
  isUp(name: string): boolean;
  /** Sends a request; a process that is not running gives an empty reply. */
  ask(name: string, request: Request): Promise<Reply>;
  view(name: string): Promise<View>;
  /** Waits for a leader that has committed entries; returns its name. */
  leader(): Promise<string>;
  /** Polls `done` every few milliseconds until it is true. */
  until(done: () => Promise<boolean>): Promise<void>;
  stop(): Promise<void>;
}

/** Options of createProcessGroup; times in milliseconds. */
export interface ProcessGroupOptions {
  readonly size: number;
  /** Number of members that are not founders and may join later. */
  readonly spares?: number;
  readonly groupCommit?: boolean;
  readonly snapshotEntries?: number;
  readonly heartbeat?: number;
  readonly electionTimeout?: number;
}

const host = new URL('./host.js', import.meta.url);
/** Milliseconds after which `until` fails. */
const maxWait = 30_000;
const pollInterval = 5;

interface Child {
  readonly process: ChildProcess;
  readonly waiting: Map<number, (reply: Reply) => void>;
}

/** Creates and starts a group of processes; spares are not started. */
export async function createProcessGroup(
  options: ProcessGroupOptions,
): Promise<ProcessGroup> {
  const {size, spares = 0} = options;
  const root = await mkdtemp(join(tmpdir(), 'foxbarrow-consensus-'));
  const members = new Map<string, Member>();
  const children = new Map<string, Child>();
  const ports = await reservePorts();
  let nextId = 1;

  for (let at = 0; at < size + spares; at++) {
    const name = `control-${at + 1}`;
    const address = ports.nextAddress();
    members.set(name, {name, address, failureDomain: `domain-${at + 1}`});
  }
  const founders = [...members.values()].slice(0, size);
  const folderOf = (name: string) => join(root, name);

  async function start(name: string): Promise<void> {
    const hostOptions: HostOptions = {
      self: members.get(name)!,
      members: founders,
      folder: folderOf(name),
      groupCommit: options.groupCommit ?? true,
      snapshotEntries: options.snapshotEntries ?? 1000,
      heartbeat: options.heartbeat ?? 50,
      electionTimeout: options.electionTimeout ?? 500,
    };
    const child = fork(host, [JSON.stringify(hostOptions)]);
    const waiting = new Map<number, (reply: Reply) => void>();
    children.set(name, {process: child, waiting});
    await new Promise<void>((resolve, reject) => {
      waiting.set(0, () => resolve());
      child.on('message', (reply: Reply) => {
        waiting.get(reply.id)?.(reply);
        waiting.delete(reply.id);
      });
      child.once('exit', code => {
        if (children.get(name)?.process === child) children.delete(name);
        // Must come before `settle`, which would resolve a start that failed.
        reject(new Error(`${name} ended with ${code}`));
        for (const settle of waiting.values()) settle({id: -1});
      });
    });
  }

  function ask(name: string, request: Request): Promise<Reply> {
    const child = children.get(name);
    if (child === undefined) return Promise.resolve({id: -1});
    const id = nextId++;
    return new Promise(resolve => {
      child.waiting.set(id, resolve);
      child.process.send({id, request}, error => {
        if (error) resolve({id: -1});
      });
    });
  }

  async function view(name: string): Promise<View> {
    const {value} = await ask(name, {kind: 'view'});
    if (value === undefined) throw new Error(`${name} does not answer`);
    return value as View;
  }

  async function kill(name: string): Promise<void> {
    const child = children.get(name)?.process;
    if (child === undefined) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  async function stopOne(name: string): Promise<void> {
    const child = children.get(name)?.process;
    if (child === undefined) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    await ask(name, {kind: 'stop'});
    await ended;
  }

  async function until(done: () => Promise<boolean>): Promise<void> {
    for (let waited = 0; waited < maxWait; waited += pollInterval) {
      if (await done()) return;
      await delay(pollInterval);
    }
    throw new Error('the condition did not become true in time');
  }

  async function findLeader(): Promise<string | undefined> {
    for (const name of children.keys()) {
      const reply = await Promise.race([
        ask(name, {kind: 'view'}),
        delay(200).then((): Reply => ({id: -1})),
      ]);
      const found = reply.value as View | undefined;
      if (found?.role === 'leader' && found.commitIndex > 0) return name;
    }
    return undefined;
  }

  const group: ProcessGroup = {
    names: [...members.keys()],
    memberOf: name => members.get(name)!,
    start,
    kill,
    stopOne,
    signal: (name, signal) => void children.get(name)?.process.kill(signal),
    wipe: name => rm(folderOf(name), {recursive: true, force: true}),
    isUp: name => children.has(name),
    ask,
    view,
    async leader() {
      let found: string | undefined;
      await until(async () => {
        found = await findLeader();
        return found !== undefined;
      });
      return found!;
    },
    until,
    async stop() {
      await Promise.all([...children.keys()].map(kill));
      ports.release();
      await rm(root, {recursive: true, force: true});
    },
  };

  try {
    await Promise.all(founders.map(({name}) => start(name)));
  } catch (error) {
    await group.stop();
    throw error;
  }
  return group;
}
