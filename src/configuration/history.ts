import type {Item} from './configuration.js';
import type {Command, Edit} from './messages.js';

/** An accepted change. */
export interface Change {
  readonly version: number;
  readonly operator: string;
  readonly sequence: number;
  /** Milliseconds since the epoch by the proposer's clock. */
  readonly time: number;
  /** Descriptions of its edits; in a long change the last one is a count. */
  readonly edits: readonly string[];
}

/** Maximum number of edits that are described for one change. */
const maxDescribedEdits = 8;

/** Describes an accepted command. */
export function describeChange(
  command: Command,
  version: number,
  time: number,
): Change {
  const {operator, sequence, edits} = command;
  const descriptions = edits.slice(0, maxDescribedEdits).map(describeEdit);
  const remaining = edits.length - descriptions.length;
  if (remaining > 0) descriptions.push(`and ${remaining} more`);
  return {version, operator, sequence, time, edits: descriptions};
}

function describeEdit(edit: Edit): string {
  switch (edit.action) {
    case 'remove':
      return `remove ${edit.kind} ${edit.name}`;
    case 'start-rollout':
      return `start rollout of ${edit.service} to ${edit.target}`;
    case 'roll-back':
      return `roll back ${edit.service}`;
    case 'put':
      return describePut(edit.item);
  }
}

function describePut({kind, value}: Item): string {
  if (kind !== 'rollout') return `put ${kind} ${value.name}`;
  return `put rollout ${value.name} ${value.phase}, share ${value.share}`;
}
