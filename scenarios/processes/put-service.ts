import type {Command} from '../../src/configuration/messages.js';

let lastSequence = Date.now() * 1000;

/**
 * Creates a command that puts one service; each has its own sequence number.
 */
export function putService(name: string): Command {
  return {
    operator: 'tester',
    sequence: ++lastSequence,
    edits: [
      {action: 'put', item: {kind: 'service', value: {name, slowStart: 0}}},
    ],
  };
}
