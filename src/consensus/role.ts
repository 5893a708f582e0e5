import {createMachine, interpret, state, transition} from 'robot3';
import type {Role} from './consensus.js';

/** What moves a member from one role to another. */
export type RoleEvent =
  /** The newest membership counts this data folder as a voter. */
  | 'counted'
  /** The newest membership does not count it. */
  | 'uncounted'
  /** No leader was heard in time. */
  | 'timeout'
  /** A majority voted for it. */
  | 'elected'
  /** Another leader or a newer term was heard, or the majority was lost. */
  | 'followed';

/** The role of a member; events that do not fit the role change nothing. */
export interface RoleMachine {
  readonly current: Role;
  send(event: RoleEvent): void;
}

/** Creates the role machine; a member starts as a learner. */
export function createRoleMachine(): RoleMachine {
  const machine = createMachine('learner', {
    learner: state(transition('counted', 'follower')),
    follower: state(
      transition('timeout', 'candidate'),
      transition('uncounted', 'learner'),
    ),
    candidate: state(
      transition('elected', 'leader'),
      transition('followed', 'follower'),
      transition('uncounted', 'learner'),
    ),
    // A leader that is no longer counted first follows; see membership.ts.
    leader: state(transition('followed', 'follower')),
  });
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as Role;
    },
    send: event => service.send(event),
  };
}
