import {createMachine, interpret, state, transition} from 'robot3';
import type {InstanceState} from './messages.js';

/** An event that changes the state of an instance. */
export type LifecycleEvent = 'warmed' | 'drain' | 'resume' | 'leave';

/** The lifecycle of one incarnation; `gone` is its final state. */
export interface Lifecycle {
  state(): InstanceState;
  /** Applies an event; false when it does not change the current state. */
  apply(event: LifecycleEvent): boolean;
}

const machine = createMachine('warming', {
  warming: state(
    transition('warmed', 'serving'),
    transition('drain', 'draining'),
    transition('leave', 'gone'),
  ),
  serving: state(transition('drain', 'draining'), transition('leave', 'gone')),
  draining: state(transition('resume', 'serving'), transition('leave', 'gone')),
  gone: state(),
});

/** Creates the lifecycle of an instance that has just been announced. */
export function createLifecycle(): Lifecycle {
  const service = interpret(machine, () => {});
  const current = () => service.machine.current as InstanceState;
  return {
    state: current,
    apply(event) {
      const before = current();
      service.send(event);
      return current() !== before;
    },
  };
}
