import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import type {ControlSettings, NodeSettings, Settings} from './schema.js';

/** Checks between keys; each gives the first clash as `key: what to do`. */

/** Finds what no key's own type can tell; undefined when all fit together. */
export function findClash(settings: Settings): string | undefined {
  const clash = findListenerClash(settings);
  if (clash !== undefined) return clash;
  if (settings.role === 'control') {
    return findMemberClash(settings) ?? findElectionClash(settings);
  }
  if (settings.role === 'node') return findUpstreamClash(settings);
  return undefined;
}

function listeners(settings: Settings): Array<[string, Address]> {
  return Object.entries(settings).filter(
    (entry): entry is [string, Address] =>
      entry[0].endsWith('Address') && typeof entry[1] === 'string',
  );
}

/** Two listeners on one port would fail at start in an order left to chance. */
function findListenerClash(settings: Settings): string | undefined {
  const seen: Array<[string, Address]> = [];
  for (const [key, address] of listeners(settings)) {
    const other = seen.find(([, earlier]) => overlap(earlier, address));
    if (other !== undefined) {
      return `${key}: ${address} is also ${other[0]}; give each listener its own port`;
    }
    seen.push([key, address]);
  }
  return undefined;
}

function overlap(left: Address, right: Address): boolean {
  const [one, other] = [parseAddress(left), parseAddress(right)];
  if (one.port !== other.port) return false;
  return one.host === other.host || isAny(one.host) || isAny(other.host);
}

function isAny(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

/** A proxy that forwards to itself would loop until its slots are gone. */
function findUpstreamClash(settings: NodeSettings): string | undefined {
  const upstream = settings.upstream;
  if (upstream === undefined) return undefined;
  const own = listeners(settings).find(([, address]) =>
    overlap(address, upstream.address),
  );
  if (own === undefined) return undefined;
  return `upstream.address: ${upstream.address} is also ${own[0]}; give the upstream's own port`;
}

function findMemberClash(settings: ControlSettings): string | undefined {
  const {members, name} = settings;
  for (const [index, member] of members.entries()) {
    const earlier = members.slice(0, index);
    if (earlier.some(other => other.name === member.name)) {
      return `members.${index}.name: ${member.name} is there twice; name each member once`;
    }
    if (earlier.some(other => other.peerAddress === member.peerAddress)) {
      return `members.${index}.peerAddress: ${member.peerAddress} is there twice; give each member its own`;
    }
  }
  const index = members.findIndex(member => member.name === name);
  if (index < 0) return `members: ${name} is not among them; add this process`;
  return findOwnClash(settings, index);
}

/** Heartbeats that may be lost before an election begins. */
const leastHeartbeats = 3;

/** One late heartbeat must not end a leadership. */
function findElectionClash(settings: ControlSettings): string | undefined {
  const {electionTimeout, heartbeat} = settings;
  const least = heartbeat * leastHeartbeats;
  if (electionTimeout >= least) return undefined;
  return `electionTimeout: ${electionTimeout} is short for a heartbeat of ${heartbeat}; give at least ${least}`;
}

/** The others call a member where the list says, so it must listen there. */
function findOwnClash(
  settings: ControlSettings,
  index: number,
): string | undefined {
  const own = settings.members[index]!;
  const keys = [
    'peerAddress',
    'operatorAddress',
    'distributionAddress',
  ] as const;
  const key = keys.find(key => !overlap(own[key], settings[key]));
  if (key !== undefined) return differs(index, key, own[key], settings[key]);
  if (own.failureDomain === settings.failureDomain) return undefined;
  return differs(
    index,
    'failureDomain',
    own.failureDomain,
    settings.failureDomain,
  );
}

function differs(
  index: number,
  key: string,
  listed: string,
  own: string,
): string {
  return `members.${index}.${key}: ${listed} differs from this process's ${key} ${own}; make them the same`;
}
