import type {Log} from '../log/log.js';
import {consensusCodes} from './codes.js';
import type {Action} from './core-state.js';
import type {Event} from './core.js';
import {createFormation} from './formation.js';
import {protocolVersion} from './messages.js';
import type {Hello, Membership, Message, Snapshot, Voter} from './messages.js';
import type {ResolvedOptions} from './options.js';
import {createPeers} from './peers.js';
import {createGenesis, groupOf} from './storage.js';
import type {Identity} from './folder.js';
import type {Job} from './writer.js';

/** Election timeouts without a sign of life that end a link. */
const silenceTimeouts = 20;

/** The group that this member belongs to, and its links to the others. */
export interface GroupLinks {
  readonly bytesOut: number;
  send(to: string, message: Message): void;
  /** The member of that name, when it has introduced itself on an open link. */
  find(name: string): Voter | undefined;
  /** Has a snapshot made durable; an empty folder joins its sender's group. */
  install(action: Action & {kind: 'install'}): void;
  /** Tells all members which group the folder now belongs to. */
  announce(): void;
  /** Keeps links to all that a membership lists. */
  follow(membership: Membership): void;
  /** Forms the group at once when it has no other member. */
  formAlone(): void;
  stop(): Promise<void>;
}

/** What the links work with. */
export interface GroupLinksOptions {
  readonly options: ResolvedOptions;
  readonly me: Voter;
  readonly log: Log;
  /** What the folder knows of itself, as of now. */
  readonly identity: () => Identity;
  /** Hands an event to the decisions. */
  readonly handle: (event: Event) => void;
  /** The log's epoch after an event was handled. */
  readonly epoch: () => number;
  readonly write: (job: Job) => void;
}

/** Listens for the other members and links to them. */
export async function createGroupLinks(
  parts: GroupLinksOptions,
): Promise<GroupLinks> {
  const {options, me, log, identity, handle, epoch, write} = parts;
  const {self, members, network, timers, random, safeguards} = options;
  const formation = createFormation(me, members, safeguards.storageIdentity);
  const hellos = new Map<string, Hello>();
  let {group, founders} = identity();

  function writeInstall(snapshot: Snapshot, at: number): void {
    if (group === undefined || founders === undefined) return;
    write({kind: 'install', snapshot, epoch: at, group, founders});
  }

  function form(list: readonly Voter[]): void {
    if (group !== undefined) return;
    group = groupOf(list);
    founders = list;
    const snapshot = createGenesis(list);
    handle({kind: 'formed', snapshot});
    writeInstall(snapshot, epoch());
    log.info('control group formed', {group, members: list.length});
  }

  const isOfGroup = (hello: Hello) =>
    hello.group === undefined || group === undefined || hello.group === group;

  const isUnderstood = (hello: Hello) => hello.protocol === protocolVersion;

  function onHello(hello: Hello): void {
    const {member, storage, protocol} = hello;
    if (!isUnderstood(hello)) {
      log.error('a member speaks another version of the protocol', {
        code: consensusCodes.protocolMismatch.number,
        member: member.name,
        protocol,
      });
      return;
    }
    hellos.set(member.name, hello);
    if (group === undefined) {
      const list = formation.onHello(hello);
      if (list !== undefined) form(list);
    }
    if (!isOfGroup(hello)) {
      log.error('a member belongs to another control group', {
        code: consensusCodes.foreignFolder.number,
        member: member.name,
        group: hello.group,
      });
      return;
    }
    peers.keep(member);
    handle({kind: 'met', peer: {...member, storage}});
  }

  function onParted(hello: Hello): void {
    const {name} = hello.member;
    formation.onParted(hello);
    if (hellos.get(name) !== hello) return;
    hellos.delete(name);
    handle({kind: 'parted', name});
  }

  function onMessage(hello: Hello, message: Message): void {
    if (!isUnderstood(hello) || !isOfGroup(hello)) return;
    // Two folders without a group have nothing to say to each other.
    if (group === undefined && hello.group === undefined) return;
    const {name} = hello.member;
    // A newer link of the same member may have come and gone meanwhile.
    if (!hellos.has(name)) hellos.set(name, hello);
    const from = {name, storage: hello.storage};
    handle({kind: 'receive', from, message});
  }

  const peers = await createPeers({
    self,
    network,
    timers,
    random,
    log,
    reconnect: options.heartbeat,
    silence: options.electionTimeout * silenceTimeouts,
    hello: () => ({
      kind: 'hello',
      protocol: protocolVersion,
      member: self,
      storage: me.storage,
      // Only what is durable: others found a group on it.
      group: identity().group,
      founders: identity().founders,
    }),
    onHello,
    onMessage,
    onParted,
  });

  for (const member of members) peers.keep(member);

  return {
    get bytesOut() {
      return peers.bytesOut;
    },
    send: (to, message) => peers.send(to, message),
    find(name) {
      const hello = hellos.get(name);
      if (hello === undefined || !isOfGroup(hello)) return undefined;
      return {...hello.member, storage: hello.storage};
    },
    install({snapshot, epoch: at, leader}) {
      const hello = hellos.get(leader);
      group ??= hello?.group;
      founders ??= hello?.founders;
      writeInstall(snapshot, at);
    },
    announce: () => peers.announce(),
    follow({voters, learners}) {
      for (const member of [...voters, ...learners]) {
        // What a member says of its own address is newer than the log.
        peers.keep(hellos.get(member.name)?.member ?? member);
      }
    },
    formAlone() {
      const list = formation.alone();
      if (list !== undefined) form(list);
    },
    stop: () => peers.stop(),
  };
}
