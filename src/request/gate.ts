/**
 * The gate: the last hop before an upstream. All of its upstream's work passes
 * here, so the slots, the drain and the claims on idempotency keys hold even
 * where every other process is out of date.
 *
 * A refusal says `not-run` only where no byte of the request was handed to a
 * connection of the upstream (`Receiver.began`); in all other doubt it says
 * `unknown`. A connection that is reused and dies is in doubt.
 */
import type {Claims} from '../claims/claims.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Address} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {createAdmission} from './admission.js';
import type {AdmissionOptions} from './admission.js';
import type {Answer} from './answer.js';
import {requestCodes} from './codes.js';
import {createConnections} from './connections.js';
import {createGateMachine} from './gate-machine.js';
import {createKeyedRuns} from './keyed-run.js';
import type {Call, Cancel, Refusal} from './messages.js';
import {refusal} from './refusal.js';
import {createRun} from './run.js';
import {resolveSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';

/** Options of `createGate`. */
export interface GateOptions {
  /** The upstream instance that it stands before. */
  readonly instance: string;
  readonly service: string;
  /** Where the upstream listens. */
  readonly upstream: Address;
  /** Work that the upstream runs at once, at most. */
  readonly slots: number;
  /** Connections that the upstream takes, at most. */
  readonly connections: number;
  /** Work that may wait for a slot. */
  readonly queueLength: number;
  /** The configuration in force, undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
  /** Where idempotency keys are claimed; without it keyed work is refused. */
  readonly claims: Claims | undefined;
  readonly timers: Timers;
  readonly log: Log;
  /** Hears whether the upstream takes connections: a failure, or an answer. */
  readonly onUpstream?: (failure: Error | undefined) => void;
  /** Test only. */
  readonly safeguards?: Partial<Safeguards>;
  /** Choices of the admission, with its own defaults. */
  readonly admission?: Pick<
    AdmissionOptions,
    'floor' | 'reserve' | 'order' | 'safeguards'
  >;
}

/** The gate of one upstream. */
export interface Gate {
  readonly instance: string;
  readonly service: string;
  /** Work that runs. */
  readonly running: number;
  /** Running and waiting work over the slots. */
  readonly load: number;
  /** Takes one call; its answer, or a numbered refusal, goes to `answer`. */
  handle(call: Call, answer: Answer): Cancel;
  /** Takes no new work from now on and refuses what waits. */
  drain(): void;
  /** Takes new work again, unless it is stopping. */
  undrain(): void;
  /** Looks at the configuration again; called after each switch of it. */
  review(): void;
  /**
   * Drains, then resolves when the last work has ended, or been cut after
   * `deadline`; called again, the earlier deadline counts.
   */
  stop(deadline: number): Promise<void>;
}

/** Creates the gate of one upstream. */
export function createGate(options: GateOptions): Gate {
  const {timers, instance} = options;
  const machine = createGateMachine();
  const safeguards = resolveSafeguards(options.safeguards);
  const connections = createConnections({
    address: options.upstream,
    limit: options.connections,
  });
  const slots = Math.min(options.slots, options.connections);
  const admission = createAdmission({
    ...options.admission,
    slots,
    queueLength: options.queueLength,
    clock: timers,
  });
  const cuts = new Set<Cancel>();
  let emptied = () => {};
  let empty: Promise<void> | undefined;
  const keyed = createKeyedRuns({claims: options.claims, run, track, untrack});

  /** Why new work is refused now; undefined when it is taken. */
  function closedReason(): Refusal | undefined {
    if (machine.state() === 'stopping') return refusal(requestCodes.stopping);
    if (machine.state() === 'draining') return refusal(requestCodes.draining);
    const configuration = options.configuration();
    if (configuration === undefined) {
      return refusal(requestCodes.noConfiguration);
    }
    // Asked at each admission, so that an operator's drain holds as soon as
    // this node has it, whatever the entries still believe.
    if (configuration.drains.has(instance)) {
      return refusal(requestCodes.draining);
    }
    return undefined;
  }

  function track(cut: Cancel): void {
    cuts.add(cut);
  }

  function untrack(cut: Cancel): void {
    cuts.delete(cut);
    if (cuts.size === 0) emptied();
  }

  function run(call: Call, answer: Answer): Cancel {
    const work = createRun({
      call,
      answer,
      admission,
      connections,
      onUpstream: options.onUpstream,
      timers,
      closedReason,
      safeguards,
      ended: () => untrack(work.cut),
    });
    track(work.cut);
    work.offer();
    return work.cancel;
  }

  return {
    instance,
    service: options.service,
    get running() {
      return admission.running;
    },
    get load() {
      return admission.load;
    },
    handle: (call, answer) => {
      const reason = closedReason();
      if (reason !== undefined) {
        answer.refuse(reason);
        return () => {};
      }
      if (call.key === undefined || call.repeatability !== 'once') {
        return run(call, answer);
      }
      return keyed.handle(call, answer);
    },
    drain: () => {
      machine.send('drain');
      admission.refuseWaiting(refusal(requestCodes.draining));
    },
    undrain: () => machine.send('undrain'),
    review: () => {
      const reason = closedReason();
      if (reason !== undefined) admission.refuseWaiting(reason);
    },
    stop: async deadline => {
      machine.send('stop');
      admission.refuseWaiting(refusal(requestCodes.stopping));
      await waitForEnd(deadline);
      await connections.close();
    },
  };

  async function waitForEnd(deadline: number): Promise<void> {
    if (cuts.size === 0) return;
    empty ??= new Promise(resolve => (emptied = resolve));
    const limit = timers.after(deadline, () => {
      options.log.warn('work cut at the stop deadline', {count: cuts.size});
      for (const cut of [...cuts]) cut();
    });
    await empty;
    limit.cancel();
  }
}
