import {createMachine, interpret, state, transition} from 'robot3';

/** Lifecycle state of a gate; only a serving gate accepts new calls. */
export type GateState = 'serving' | 'draining' | 'stopping';

/** Events that change the state of a gate. */
export type GateEvent = 'drain' | 'undrain' | 'stop';

/** The state of one gate; `stopping` is final. */
export interface GateStateMachine {
  state(): GateState;
  /**
   * Applies an event; events without a transition from the state are ignored.
   */
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

/** Creates the state machine of a gate, in the state `serving`. */
export function createGateStateMachine(): GateStateMachine {
  const service = interpret(definition, () => {});
  return {
    state: () => service.machine.current as GateState,
    send: event => service.send(event),
  };
}
