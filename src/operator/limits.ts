import {configurationCodes as codes} from '../configuration/codes.js';
import {isAppointer} from '../configuration/appointer-name.js';
import type {Item} from '../configuration/configuration.js';
import type {Limits} from '../configuration/limits.js';
import type {Command} from '../configuration/messages.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';

/** One value held against one limit. */
interface Measure {
  readonly what: string;
  readonly value: number;
  readonly limit: keyof Limits;
}

/**
 * Checks a command against the deployment's limits before it enters the log.
 * Settings differ between processes while they are being changed; a check in
 * `apply` would then give different states from the same log.
 */
export function checkLimits(
  command: Command,
  limits: Limits,
  wall: number,
): Result<void> {
  if (isAppointer(command.operator)) {
    return failure(
      codes.operatorReserved,
      `${command.operator} is a name of the system; take another`,
    );
  }
  const exceeded = measure(command).find(
    ({value, limit}) => value > limits[limit],
  );
  if (exceeded !== undefined) {
    const {what, value, limit} = exceeded;
    return failure(
      codes.limitExceeded,
      `${what} is ${value}, over limits.${limit} of ${limits[limit]}`,
    );
  }
  return checkSequence(command, limits, wall);
}

/**
 * A sequence far ahead of the clock would raise the floor over every sequence
 * that clients take from their clocks, and bar them once it is dropped from
 * the answer table. Clients take microseconds since the epoch.
 */
function checkSequence(
  {sequence}: Command,
  limits: Limits,
  wall: number,
): Result<void> {
  const highest = (wall + limits.sequenceAhead) * 1000;
  if (sequence <= highest) return success(undefined);
  return failure(
    codes.sequenceAhead,
    `sequence ${sequence} is above ${highest}, microseconds since the epoch ` +
      'and limits.sequenceAhead; use a smaller one',
  );
}

function measure(command: Command): readonly Measure[] {
  return [
    {what: 'the number of edits', value: command.edits.length, limit: 'edits'},
    measureName('operator', command.operator),
    ...command.edits.flatMap(edit =>
      edit.action === 'put'
        ? measureItem(edit.item)
        : [measureName(edit.kind, edit.name)],
    ),
  ];
}

function measureItem({kind, value}: Item): readonly Measure[] {
  const of = `of ${kind} ${value.name}`;
  const measures = [measureName(kind, value.name)];
  if (kind === 'service') {
    const what = `slow start ${of}`;
    measures.push({what, value: value.slowStart, limit: 'slowStart'});
  } else if (kind === 'route') {
    const what = `the length of the prefix ${of}`;
    measures.push({what, value: value.prefix.length, limit: 'prefixLength'});
  } else if (kind === 'policy') {
    measures.push(
      {what: `deadline ${of}`, value: value.deadline, limit: 'deadline'},
      {what: `attempts ${of}`, value: value.attempts, limit: 'attempts'},
      {what: `body limit ${of}`, value: value.bodyLimit, limit: 'bodyLimit'},
    );
  }
  return measures;
}

function measureName(kind: string, name: string): Measure {
  const what = `the length of ${kind} name ${name}`;
  return {what, value: name.length, limit: 'nameLength'};
}
