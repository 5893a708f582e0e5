/** Counts the outcomes of a node's requests for services that are rolled out. */
import type {Clock} from '../time/clock.js';
import {bucketOf, emptyDurations, toSparse} from './duration-buckets.js';
import type {OutcomeCounts, VersionRole} from './messages.js';

/**
 * How a request ended.
 * - `answered`: the upstream answered.
 * - `failed`: it answered with a failure, broke off or did not answer in time.
 * - `unused`: the end tells nothing about the version, for example because the
 *   request did not run or its caller has left.
 */
export type OutcomeKind = 'answered' | 'failed' | 'unused';

/** What one request was sent to. */
export interface RecordedRequest {
  readonly service: string;
  /** Number of the order of the roll-out. */
  readonly order: number;
  readonly role: VersionRole;
  readonly route: string;
  readonly instance: string;
  /**
   * Milliseconds below which an answer counts as that fast: it is soon enough,
   * and a new connection or code that has not run yet take as long.
   */
  readonly fastEnough: number;
  /** Whether the instance has just started; its durations are not counted. */
  readonly isWarming: boolean;
}

/** Records the end of one request. */
export type RecordEnd = (kind: OutcomeKind) => void;

/** The counts of one node. */
export interface OutcomeRecorder {
  /** Records that a request was sent. */
  begin(request: RecordedRequest): RecordEnd;
  /** Counts that changed after the given mark, and the mark of this call. */
  changes(service: string, order: number, after: number): CountChanges;
  /** Discards the counts of a service. */
  discard(service: string): void;
}

/** Counts that changed after a mark. */
export interface CountChanges {
  readonly mark: number;
  readonly counts: readonly OutcomeCounts[];
}

/**
 * Maximum number of routes that are counted separately; the others are counted
 * as one.
 */
const maxRoutes = 16;

/** Maximum number of rows of one service; further requests are not counted. */
const maxRows = 1024;

const otherRoutes = '';

interface Row {
  readonly role: VersionRole;
  readonly route: string;
  readonly instance: string;
  sent: number;
  answers: number;
  failures: number;
  readonly durations: number[];
  changedAt: number;
}

interface ServiceRows {
  readonly order: number;
  readonly routes: Set<string>;
  readonly rows: Map<string, Row>;
}

/** Creates a recorder without counts. */
export function createOutcomeRecorder(clock: Clock): OutcomeRecorder {
  const services = new Map<string, ServiceRows>();
  /** Number of changes so far, which orders them. */
  let changes = 0;

  function rowsOf(service: string, order: number): ServiceRows {
    const known = services.get(service);
    if (known?.order === order) return known;
    const rows = {order, routes: new Set<string>(), rows: new Map()};
    services.set(service, rows);
    return rows;
  }

  function rowOf(request: RecordedRequest): Row | undefined {
    const {routes, rows} = rowsOf(request.service, request.order);
    if (routes.size < maxRoutes) routes.add(request.route);
    const route = routes.has(request.route) ? request.route : otherRoutes;
    const instance = request.role === 'target' ? request.instance : '';
    const key = `${route} ${instance}`;
    const known = rows.get(key);
    if (known !== undefined || rows.size >= maxRows) return known;
    const row: Row = {
      role: request.role,
      route,
      instance,
      sent: 0,
      answers: 0,
      failures: 0,
      durations: emptyDurations(),
      changedAt: 0,
    };
    rows.set(key, row);
    return row;
  }

  return {
    begin(request) {
      const row = rowOf(request);
      if (row === undefined) return () => {};
      const startedAt = clock.now();
      row.sent++;
      row.changedAt = ++changes;
      return kind => {
        if (kind === 'unused') return;
        row.answers++;
        if (kind === 'failed') row.failures++;
        else if (!request.isWarming) {
          const duration = clock.now() - startedAt;
          row.durations[bucketOf(Math.max(request.fastEnough, duration))]!++;
        }
        row.changedAt = ++changes;
      };
    },
    changes(service, order, after) {
      const known = services.get(service);
      const rows = known?.order === order ? [...known.rows.values()] : [];
      const counts = rows
        .filter(({changedAt}) => changedAt > after)
        .map(toCounts);
      return {mark: changes, counts};
    },
    discard: service => void services.delete(service),
  };
}

function toCounts(row: Row): OutcomeCounts {
  const {role, route, instance, sent, answers, failures} = row;
  const durations = toSparse(row.durations);
  return {role, route, instance, sent, answers, failures, durations};
}
