import {createMachine, interpret, state, transition} from 'robot3';
import type {InstanceState} from './messages.js';

/** What moves an instance from state to state. */
export type LifecycleEvent = 'warmed' | 'drain' | 'resume' | 'leave';

/** The life of one incarnation; `gone` is its end. */
export interface Lifecycle {
  state(): InstanceState;
  /** Takes an event; false when it means nothing in this state. */
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

/** Creates the life of an instance that has just been announced. */
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
