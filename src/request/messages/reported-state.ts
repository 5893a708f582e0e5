/** What a process of an upstream has reported, as gates and entries tell it. */
export interface ReportedState {
  /** Identifies the process; another one at the same address has another. */
  readonly process: string;
  /** Requests per second that it takes; undefined without a limit. */
  readonly limit?: number | undefined;
  /**
   * With a limit: how often entries should consider the instance, compared to
   * one without a limit.
   */
  readonly share?: number;
  /** Whether it is shutting down. */
  readonly leaving?: boolean;
  /**
   * The incarnation as which it is announced, in the reports of a gate. It
   * changes when the node restarts, while the process keeps running.
   */
  readonly life?: string | undefined;
}

/** Formats the state as the value of a header. */
export function formatReportedState(state: ReportedState): string {
  const {process, limit, share, leaving, life} = state;
  const parameters = new URLSearchParams({process});
  if (limit !== undefined) parameters.set('limit', String(limit));
  if (share !== undefined) parameters.set('share', share.toFixed(3));
  if (leaving === true) parameters.set('leaving', '1');
  if (life !== undefined) parameters.set('life', life);
  return parameters.toString();
}

/** Parses the value of a header; undefined if there is none. */
export function parseReportedState(
  value: string | undefined,
): ReportedState | undefined {
  if (value === undefined) return undefined;
  const parameters = new URLSearchParams(value);
  const process = parameters.get('process');
  const limit = Number(parameters.get('limit') ?? NaN);
  const share = Number(parameters.get('share') ?? NaN);
  if (process === null) return undefined;
  return {
    process,
    ...(Number.isFinite(limit) && {limit}),
    ...(share > 0 && share <= 1 && {share}),
    ...(parameters.has('leaving') && {leaving: true}),
    ...(parameters.has('life') && {life: parameters.get('life')!}),
  };
}
