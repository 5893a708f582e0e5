import {Counter, Gauge, Histogram} from 'prom-client';
import type {Registry} from 'prom-client';
import {Metrics} from '../metrics/metrics.js';
import type {
  AnsweredRequest,
  ClaimLoad,
  ControlState,
  GateLoad,
  Traffic,
} from '../metrics/metrics.js';
import {createLabelLimit, overflowLabel} from './label-limit.js';
import {metricNames} from './metric-names.js';

/** How an answer counts against its objective. */
export type Verdict = 'good' | 'slow' | 'failed';

/** What `createMetrics` needs. */
export interface MetricsOptions {
  readonly registry: Registry;
  /** Routes that get their own series; the rest share `other`. */
  readonly routeLimit?: number;
}

/** Routes with their own series; a node serves few of the 710 services. */
const defaultRouteLimit = 64;

/** Seconds; dense around the objectives of lookups, gate checks and uploads. */
const latencyBuckets = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10,
];

const convergenceBuckets = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30];

const millisecondsPerSecond = 1000;

/**
 * Publishes what slices report. Series appear with their first report, so that
 * a process shows only what it does; routes beyond the limit share `other`.
 */
export function createMetrics(options: MetricsOptions): Metrics {
  const registers = [options.registry];
  const routes = createLabelLimit(options.routeLimit ?? defaultRouteLimit);
  const services = createLabelLimit(options.routeLimit ?? defaultRouteLimit);

  const counter = <T extends string>(
    name: string,
    help: string,
    labelNames: T[],
  ) => new Counter({name, help, labelNames, registers});
  const gauge = (name: string, help: string) =>
    new Gauge({name, help, registers, labelNames: ['kind']});
  const histogram = <T extends string>(
    name: string,
    help: string,
    buckets: number[],
    labelNames: T[],
  ) => new Histogram({name, help, buckets, labelNames, registers});

  const requests = counter(metricNames.requests, 'Answered requests.', [
    'route',
    'service',
    'policy',
    'code',
    'verdict',
  ]);
  const latency = histogram(
    metricNames.latency,
    'Seconds from a request to the end of its answer.',
    latencyBuckets,
    ['route'],
  );
  const retries = counter(metricNames.retries, 'Attempts after the first.', [
    'service',
  ]);
  const work = gauge(metricNames.gate, 'Requests queued, running, and slots.');
  const claims = gauge(metricNames.claims, 'Claims held here, and the limit.');
  const version = gauge(metricNames.version, 'Configuration in force here.');
  const convergence = histogram(
    metricNames.convergence,
    'Seconds from an accepted change until it was in force everywhere.',
    convergenceBuckets,
    [],
  );
  const bytes = counter(metricNames.bytes, 'Bytes between own processes.', [
    'link',
    'direction',
  ]);
  const group = gauge(metricNames.group, 'Term, leadership, log and snapshot.');
  const nodes = gauge(metricNames.nodes, 'Nodes that this process knows.');

  function countRequest(request: AnsweredRequest): void {
    const route = routes.label(request.route);
    const isOther = route === overflowLabel;
    requests.inc({
      route,
      service: isOther ? overflowLabel : request.service,
      policy: isOther ? overflowLabel : request.policy,
      code: request.code.number,
      verdict: judge(request),
    });
    latency.observe({route}, request.duration / millisecondsPerSecond);
  }

  return new (class extends Metrics {
    answered(request: AnsweredRequest): void {
      countRequest(request);
    }

    retried(service: string, attempts: number): void {
      retries.inc({service: services.label(service)}, attempts);
    }

    load(load: GateLoad): void {
      work.set({kind: 'queued'}, load.queued);
      work.set({kind: 'running'}, load.running);
      work.set({kind: 'slots'}, load.slots);
    }

    claims(load: ClaimLoad): void {
      claims.set({kind: 'held'}, load.held);
      claims.set({kind: 'limit'}, load.limit);
    }

    inForce(number: number): void {
      version.set({kind: 'in-force'}, number);
    }

    converged(duration: number): void {
      convergence.observe(duration / millisecondsPerSecond);
    }

    traffic(link: Traffic, received: number, sent: number): void {
      bytes.inc({link, direction: 'in'}, received);
      bytes.inc({link, direction: 'out'}, sent);
    }

    control(state: ControlState): void {
      group.set({kind: 'term'}, state.term);
      group.set({kind: 'leader'}, state.isLeader ? 1 : 0);
      group.set({kind: 'commit-index'}, state.commitIndex);
      group.set({kind: 'log-bytes'}, state.logBytes);
      group.set({kind: 'snapshot-bytes'}, state.snapshotBytes);
    }

    fleet(count: number): void {
      nodes.set({kind: 'known'}, count);
    }
  })();
}

/** HTTP statuses that decide how an answer counts. */
const callerLeft = 499;
const tooMany = 429;
const serverError = 500;

/**
 * What an answer spends: server-side failures, refusals and answers cut short
 * do, and answers later than the objective. A caller's own error (4xx) does
 * not, nor does a caller that left before the objective's time.
 */
export function judge(
  request: Pick<AnsweredRequest, 'status' | 'whole' | 'duration' | 'objective'>,
): Verdict {
  const {status, whole} = request;
  if (status >= serverError || status === tooMany) return 'failed';
  if (!whole && status !== callerLeft) return 'failed';
  return request.duration > request.objective ? 'slow' : 'good';
}
