/** What nodes tell of requests that end instances, and of those that don't. */

/** A request that ran when an instance ended. */
export interface Suspect {
  /** The digest of the whole request. */
  readonly name: string;
  /** The digest of all but its body. */
  readonly head: string;
  readonly service: string;
  /** Method, host and path, for operators. */
  readonly request: string;
}

/** An instance ended by itself. */
export interface CrashEvidence {
  readonly kind: 'crash';
  /** Differs for each piece of evidence; what arrives twice counts once. */
  readonly id: string;
  /** The instance with its incarnation. */
  readonly life: string;
  /** All that ran at that moment. */
  readonly suspects: readonly Suspect[];
}

/** A quarantined request was answered by an instance. */
export interface AnswerEvidence {
  readonly kind: 'answer';
  readonly id: string;
  /** The quarantine's name. */
  readonly name: string;
}

/** What a node has seen. */
export type Evidence = CrashEvidence | AnswerEvidence;

/** Names one life of an instance. */
export function incarnationId(instance: string, incarnation: number): string {
  return `${instance}/${incarnation}`;
}
