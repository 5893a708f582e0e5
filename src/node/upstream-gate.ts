/**
 * A gate for the upstream that is currently announced beside a node. It replaces
 * the underlying gate when the upstream is replaced or its size changes; code that
 * uses this gate does not notice.
 */
import {namesProcess} from '../endpoints/announcer.js';
import type {Announcer, Upstream} from '../endpoints/announcer.js';
import type {Announcement} from '../endpoints/messages.js';
import type {Log} from '../log/log.js';
import {incarnationId} from '../quarantine/messages.js';
import type {Answer} from '../request/messages/answer.js';
import {requestCodes} from '../request/messages/codes.js';
import {createUpstreamReport} from '../request/decisions/upstream-report.js';
import type {UpstreamReport} from '../request/decisions/upstream-report.js';
import type {Gate} from '../request/gate.js';
import type {Call, Cancel} from '../request/messages/call.js';
import {createRefusal} from '../request/messages/refusal.js';
import type {Timers} from '../time/timers.js';

/** Options of `createUpstreamGate`; times in milliseconds. */
export interface UpstreamGateOptions {
  readonly announcer: Announcer;
  /**
   * Creates the gate of one upstream; `report` is shared by all gates of the
   * same process of the upstream.
   */
  readonly create: (
    announcement: Announcement,
    upstream: Upstream,
    report: UpstreamReport,
  ) => Gate;
  readonly timers: Timers;
  readonly log: Log;
  /** How long requests at a replaced upstream may still run. */
  readonly stopDeadline: number;
}

/** Creates the gate and subscribes it to the announcer. */
export function createUpstreamGate(options: UpstreamGateOptions): Gate {
  const {announcer} = options;
  let gate: Gate | undefined;
  let report: UpstreamReport | undefined;
  let reportedProcess = '';
  let identity = '';
  let isStopping = false;
  const retiring = new Set<Promise<void>>();

  function update(announcement: Announcement): void {
    const upstream = announcer.upstream();
    if (announcement.state === 'gone' || upstream === undefined)
      return retire();
    const nextIdentity = identityOf(announcement, upstream);
    if (nextIdentity !== identity) {
      retire();
      gate = options.create(
        announcement,
        upstream,
        reportOf(announcement, upstream),
      );
      identity = nextIdentity;
    }
    if (announcement.state === 'draining') gate?.drain();
    else if (!isStopping) gate?.undrain();
  }

  function reportOf(
    announcement: Announcement,
    upstream: Upstream,
  ): UpstreamReport {
    const process = processOf(announcement, upstream);
    if (report !== undefined && process === reportedProcess) return report;
    const {timers, log} = options;
    const {instance} = announcement;
    reportedProcess = process;
    report = createUpstreamReport({instance, process, timers, log});
    report.onLeaving(() => {
      if (reportedProcess === process) announcer.leave();
    });
    return report;
  }

  function retire(): void {
    if (gate !== undefined && !isStopping)
      awaitStop(gate.stop(options.stopDeadline));
    gate = undefined;
    identity = '';
  }

  /** Keeps track of a replaced gate, so that a stop of the node waits for its requests. */
  function awaitStop(stop: Promise<void>): void {
    retiring.add(stop);
    void stop.finally(() => retiring.delete(stop));
  }

  announcer.onChange(update);

  return {
    get instance() {
      return gate?.instance ?? '';
    },
    get service() {
      return gate?.service ?? '';
    },
    get report() {
      return gate?.report;
    },
    get running() {
      return gate?.running ?? 0;
    },
    get waiting() {
      return gate?.waiting ?? 0;
    },
    get load() {
      return gate?.load ?? 0;
    },
    get reported() {
      return gate?.reported;
    },
    loadFor: policy => gate?.loadFor(policy) ?? 0,
    estimateFor: (policy, rank) => gate?.estimateFor(policy, rank),
    comparesBody: call => gate?.comparesBody(call) ?? false,
    handle(call: Call, answer: Answer): Cancel {
      if (gate !== undefined) return gate.handle(call, answer);
      answer.refuse(createRefusal(requestCodes.wrongInstance));
      return () => {};
    },
    drain() {
      gate?.drain();
    },
    undrain() {
      gate?.undrain();
    },
    recheckConfiguration() {
      gate?.recheckConfiguration();
    },
    async stop(deadline) {
      isStopping = true;
      await Promise.all([gate?.stop(deadline), ...retiring]);
    },
  };
}

/**
 * Identifies the process of an upstream, also after a restart of the node. An
 * upstream that names none counts as a new process in each incarnation.
 */
function processOf(
  {instance, incarnation}: Announcement,
  {identity, started, address}: Upstream,
): string {
  const name = [identity ?? instance, started ?? ''].join(' ');
  const life = incarnationId(instance, incarnation);
  return `${address} ${namesProcess({identity, started}) ? name : life}`;
}

/** Identifies a gate: another incarnation, address or size requires a new one. */
function identityOf(announcement: Announcement, upstream: Upstream): string {
  const {instance, service, incarnation, slots, connections} = announcement;
  const parts = [instance, service, incarnation, slots, connections];
  return [...parts, announcement.version, upstream.address].join(' ');
}
