import {createMachine, interpret, state, transition} from 'robot3';

/** Whether a gate takes new work. */
export type GateState = 'serving' | 'draining' | 'stopping';

/** What moves a gate from one state to another. */
export type GateEvent = 'drain' | 'undrain' | 'stop';

/** The state of one gate; `stopping` is final. */
export interface GateStateMachine {
  state(): GateState;
  /** Events that mean nothing in the present state are ignored. */
  send(event: GateEvent): void;
}

const definition = createMachine({
  serving: state(
    transition('drain', 'draining'),
    transition('stop', 'stopping'),
  ),
  draining: state(
    transition('undrain', 'serving'),
    transition('stop', 'stopping'),
  ),
  stopping: state(),
});

/** Creates the state machine of a gate that serves. */
export function createGateStateMachine(): GateStateMachine {
  const service = interpret(definition, () => {});
  return {
    state: () => service.machine.current as GateState,
    send: event => service.send(event),
  };
}
