import type {Code} from '../result/code.js';

/** What slices report; `src/admin/metrics.ts` publishes it to Prometheus. */

/** Kinds of links between the system's own processes. */
export type Traffic = 'distribution' | 'peer' | 'claims';

/** One request that an entry has answered. */
export interface AnsweredRequest {
  readonly route: string;
  readonly service: string;
  readonly policy: string;
  readonly code: Code;
  /** The HTTP status that the caller got. */
  readonly status: number;
  /** Whether the answer reached the caller whole. */
  readonly whole: boolean;
  /** Milliseconds from the request's first byte to the answer's last. */
  readonly duration: number;
  /** Milliseconds within which the policy's objective counts it as good. */
  readonly objective: number;
}

/** Work waiting and running at one gate. */
export interface GateLoad {
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
}

/** Claims that one node holds as a keeper. */
export interface ClaimLoad {
  readonly held: number;
  /** New keys are refused at it. */
  readonly limit: number;
}

/** The state of one control process. */
export interface ControlState {
  readonly term: number;
  readonly isLeader: boolean;
  readonly commitIndex: number;
  readonly logBytes: number;
  readonly snapshotBytes: number;
}

/** Where slices report; it has no cost worth a check at the caller. */
export abstract class Metrics {
  /** Entry: a request was answered, by an upstream or by a refusal. */
  abstract answered(request: AnsweredRequest): void;
  /** Entry: attempts after the first were made. */
  abstract retried(service: string, attempts: number): void;
  /** Gate: work that waits and runs, from time to time. */
  abstract load(load: GateLoad): void;
  /** Keeper: claims that it holds, from time to time. */
  abstract claims(load: ClaimLoad): void;
  /** Node, relay: a version came into force here. */
  abstract inForce(version: number): void;
  /**
   * Control: milliseconds from accepting a change until it was in force
   * everywhere, or was given up.
   */
  abstract converged(duration: number): void;
  /** Any link's end: bytes that one kind of link received and sent, with framing. */
  abstract traffic(kind: Traffic, received: number, sent: number): void;
  /** Control: its part in the group changed, or its log grew. */
  abstract control(state: ControlState): void;
  /** Control: how many nodes it knows, its own and those of other homes. */
  abstract fleet(nodes: number): void;
}

/** Creates metrics that go nowhere, for tests and benches. */
export function createNoMetrics(): Metrics {
  return new (class extends Metrics {
    answered(): void {}
    retried(): void {}
    load(): void {}
    claims(): void {}
    inForce(): void {}
    converged(): void {}
    traffic(): void {}
    control(): void {}
    fleet(): void {}
  })();
}
