/** What a process of an upstream has reported, as gates and entries tell it. */
export interface ReportedState {
  /** Identifies the process; another one at the same address has another. */
  readonly process: string;
  /** Requests per second that it takes; undefined without a limit. */
  readonly limit?: number | undefined;
}

/** Formats the state as the value of a header. */
export function formatReportedState({process, limit}: ReportedState): string {
  const parameters = new URLSearchParams({process});
  if (limit !== undefined) parameters.set('limit', String(limit));
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
  if (process === null) return undefined;
  return Number.isFinite(limit) ? {process, limit} : {process};
}
