/**
 * What a gate observes in the bytes of its upstream that is not the result of a
 * call. The counts tell apart why a call was refused as not run.
 */

/** The kinds of observations. */
export const observationKinds = [
  /** The upstream rejected the call as not run. */
  'rejected',
  /** An answer to another call than the one at which it arrived. */
  'stray',
  /** An answer to a call that the upstream had rejected as not run. */
  'contradicted',
  /** Bytes that are no answer, or that no call waited for. */
  'unreadable',
  /** More bytes than are read of an answer beside its body. */
  'endless',
] as const;

/** A kind of observation. */
export type ObservationKind = (typeof observationKinds)[number];

/** One observation; the fields are undefined where they are unknown. */
export interface AnswerObservation {
  readonly kind: ObservationKind;
  /** Id of the call that the answer bears. */
  readonly request?: string | undefined;
  readonly status?: number | undefined;
}

/** Numbers of observations by kind. */
export type ObservationCounts = Readonly<Record<ObservationKind, number>>;

/** The counts before the first observation. */
export const noObservations: ObservationCounts = {
  rejected: 0,
  stray: 0,
  contradicted: 0,
  unreadable: 0,
  endless: 0,
};
