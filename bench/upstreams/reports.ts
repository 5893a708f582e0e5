/** What a stand-in upstream reports in all its answers, and what it gets. */
import type {ServerResponse} from 'node:http';
import {headerNames} from '../../src/request/transport/headers.js';
import type {Clock} from '../../src/time/clock.js';

/** The headers of the answers from a moment on. */
export interface ReportChange {
  /** Milliseconds since the epoch. */
  readonly at: number;
  /** Text of the header; absent if it is not sent. */
  readonly limit?: string;
  readonly leaving?: string;
}

/** A request that reached the upstream. */
export interface Arrival {
  readonly at: number;
  readonly tag: string;
}

/** The record of one process, as `GET /reports` returns it. */
export interface ReportRecord {
  readonly changes: readonly ReportChange[];
  readonly arrivals: readonly Arrival[];
}

/** The reports of one upstream. */
export interface Reports {
  /** Changes the headers; those that are absent are no longer sent. */
  change(limit: string | null, leaving: string | null): void;
  /** Adds the headers to an answer that has not started. */
  addTo(response: ServerResponse): void;
  arrived(tag: string): void;
  /** The headers that are sent now. */
  current(): ReportChange;
  record(): ReportRecord;
}

/** Creates the reports of an upstream that reports nothing yet. */
export function createReports(clock: Clock): Reports {
  const changes: ReportChange[] = [{at: clock.wall()}];
  const arrivals: Arrival[] = [];
  const current = () => changes.at(-1)!;

  return {
    change: (limit, leaving) =>
      void changes.push({
        at: clock.wall(),
        ...(limit !== null && {limit}),
        ...(leaving !== null && {leaving}),
      }),
    addTo(response) {
      const {limit, leaving} = current();
      if (limit !== undefined) response.setHeader(headerNames.limit, limit);
      if (leaving !== undefined) {
        response.setHeader(headerNames.leaving, leaving);
      }
    },
    arrived: tag => void arrivals.push({at: clock.wall(), tag}),
    current,
    record: () => ({changes, arrivals}),
  };
}
