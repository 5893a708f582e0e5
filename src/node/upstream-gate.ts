/**
 * The gate of whatever upstream is announced beside a node. Upstreams come,
 * leave and return with other slots; callers of this gate need not know.
 */
import type {Announcer, Upstream} from '../endpoints/announcer.js';
import type {Announcement} from '../endpoints/messages.js';
import type {Answer} from '../request/messages/answer.js';
import {requestCodes} from '../request/messages/codes.js';
import type {Gate} from '../request/gate.js';
import type {Call, Cancel} from '../request/messages/call.js';
import {createRefusal} from '../request/messages/refusal.js';

/** Options of `createUpstreamGate`; times in milliseconds. */
export interface UpstreamGateOptions {
  readonly announcer: Announcer;
  /** Makes the gate of one upstream. */
  readonly create: (announcement: Announcement, upstream: Upstream) => Gate;
  /** How long work of an upstream that was replaced may still run. */
  readonly stopDeadline: number;
}

/** Creates it; follows the announcer from then on. */
export function createUpstreamGate(options: UpstreamGateOptions): Gate {
  const {announcer} = options;
  let gate: Gate | undefined;
  let shape = '';
  let stopping = false;
  const leaving = new Set<Promise<void>>();

  function follow(announcement: Announcement): void {
    const upstream = announcer.upstream();
    if (announcement.state === 'gone' || upstream === undefined) return leave();
    const next = shapeOf(announcement, upstream);
    if (next !== shape) {
      leave();
      gate = options.create(announcement, upstream);
      shape = next;
    }
    if (announcement.state === 'draining') gate?.drain();
    else if (!stopping) gate?.undrain();
  }

  function leave(): void {
    if (gate !== undefined && !stopping)
      finish(gate.stop(options.stopDeadline));
    gate = undefined;
    shape = '';
  }

  /** A stop of the node must not cut work that a former gate still runs. */
  function finish(stop: Promise<void>): void {
    leaving.add(stop);
    void stop.finally(() => leaving.delete(stop));
  }

  announcer.onChange(follow);

  return {
    get instance() {
      return gate?.instance ?? '';
    },
    get service() {
      return gate?.service ?? '';
    },
    get running() {
      return gate?.running ?? 0;
    },
    get load() {
      return gate?.load ?? 0;
    },
    loadFor: policy => gate?.loadFor(policy) ?? 0,
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
      stopping = true;
      await Promise.all([gate?.stop(deadline), ...leaving]);
    },
  };
}

/** What makes another gate of it: another life, place or size. */
function shapeOf(announcement: Announcement, upstream: Upstream): string {
  const {instance, service, incarnation, slots, connections} = announcement;
  const parts = [instance, service, incarnation, slots, connections];
  return [...parts, upstream.address].join(' ');
}
