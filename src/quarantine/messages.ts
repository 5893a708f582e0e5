/** Evidence that nodes report about requests that may crash instances. */

/** A request that was running when an instance crashed. */
export interface Suspect {
  /** The digest of the whole request. */
  readonly name: string;
  /** The digest of the request without its body. */
  readonly head: string;
  readonly service: string;
  /** Method, host and path, for operators. */
  readonly request: string;
}

/** An instance crashed. */
export interface CrashEvidence {
  readonly kind: 'crash';
  /** Unique for each piece of evidence; duplicates are discarded by it. */
  readonly id: string;
  /** The incarnation that ended; see `incarnationId`. */
  readonly life: string;
  /** All requests that were running at that moment. */
  readonly suspects: readonly Suspect[];
}

/** An instance answered a quarantined request. */
export interface AnswerEvidence {
  readonly kind: 'answer';
  readonly id: string;
  /** The quarantine's name. */
  readonly name: string;
}

/** Evidence of either kind. */
export type Evidence = CrashEvidence | AnswerEvidence;

/** The identifier of one incarnation of an instance: `instance/incarnation`. */
export function incarnationId(instance: string, incarnation: number): string {
  return `${instance}/${incarnation}`;
}
