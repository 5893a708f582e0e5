/** The quotas of workspaces, as the entry of a node uses them. */

/** A request's part of its workspace's quota. */
export interface Credit {
  /** Returns it because the request did not run; has an effect once. */
  giveBack(): void;
}

/**
 * Why a request gets no credit.
 * - `exceeded`: the workspace has used its quota.
 * - `unknown`: the node holds no credit and can't ask for one.
 */
export type QuotaRefusalReason = 'exceeded' | 'unknown';

/** Whether a request may run under its workspace's quota. */
export type QuotaDecision =
  | {readonly kind: 'granted'; readonly credit: Credit}
  | {
      readonly kind: 'refused';
      readonly reason: QuotaRefusalReason;
      /** Seconds after which a credit is expected. */
      readonly retryAfter: number;
    };

/** The quotas of all workspaces at one node. */
export interface Quotas {
  /**
   * Takes a credit of a workspace, which has a quota. Waits for one until
   * `until`, in milliseconds on the timer service's clock, if the node has to
   * ask for it.
   */
  take(
    workspace: string,
    until: number,
  ): QuotaDecision | Promise<QuotaDecision>;
}
