import type {Command, Edit} from './messages.js';

/** One change that was accepted. */
export interface Change {
  readonly version: number;
  readonly operator: string;
  readonly sequence: number;
  /** Milliseconds since the epoch on the proposer's clock. */
  readonly time: number;
  /** Its edits in words; long changes end in a count. */
  readonly edits: readonly string[];
}

/** Edits told of one change. */
const editsTold = 8;

/** Describes an accepted command. */
export function describeChange(
  command: Command,
  version: number,
  time: number,
): Change {
  const {operator, sequence, edits} = command;
  const told = edits.slice(0, editsTold).map(describeEdit);
  const rest = edits.length - told.length;
  if (rest > 0) told.push(`and ${rest} more`);
  return {version, operator, sequence, time, edits: told};
}

function describeEdit(edit: Edit): string {
  if (edit.action === 'remove') return `remove ${edit.kind} ${edit.name}`;
  return `put ${edit.item.kind} ${edit.item.value.name}`;
}
