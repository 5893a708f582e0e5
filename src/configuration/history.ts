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
  if (edit.action === 'remove') return `remove ${edit.kind} ${edit.name}`;
  return `put ${edit.item.kind} ${edit.item.value.name}`;
}
