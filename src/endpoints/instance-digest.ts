import {digestText, emptyDigest} from './digest.js';
import type {Digest} from './digest.js';
import type {KnownInstance} from './messages.js';

/** The digest of an instance in a node's view; empty for a gone instance. */
export function digestInstance(known: KnownInstance): Digest {
  if (known.state === 'gone') return emptyDigest;
  const {instance, incarnation, sequence, gate} = known;
  const suspect = known.suspect === true ? 's' : '';
  return digestText(`${instance} ${incarnation} ${sequence} ${gate}${suspect}`);
}
