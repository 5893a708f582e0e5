import {createMachine, interpret, state, transition} from 'robot3';
import type {Role} from './consensus.js';

/** An event that changes the role of a member. */
export type RoleEvent =
  /** The newest membership lists this data folder as a voter. */
  | 'voter-added'
  /** The newest membership does not list this data folder as a voter. */
  | 'voter-removed'
  /** The election timeout passed without a message of a leader. */
  | 'timeout'
  /** A majority voted for this member. */
  | 'elected'
  /** Another leader or a newer term appeared, or the majority was lost. */
  | 'stepped-down';

/**
 * The role of a member; an event without a transition from the role is ignored.
 */
export interface RoleMachine {
  readonly current: Role;
  send(event: RoleEvent): void;
}

/** Creates the role machine; a member starts as a learner. */
export function createRoleMachine(): RoleMachine {
  const machine = createMachine('learner', {
    learner: state(transition('voter-added', 'follower')),
    follower: state(
      transition('timeout', 'candidate'),
      transition('voter-removed', 'learner'),
    ),
    candidate: state(
      transition('elected', 'leader'),
      transition('stepped-down', 'follower'),
      transition('voter-removed', 'learner'),
    ),
    // A leader that is removed as a voter becomes a follower first; see
    // core.ts.
    leader: state(transition('stepped-down', 'follower')),
  });
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as Role;
    },
    send: event => service.send(event),
  };
}
