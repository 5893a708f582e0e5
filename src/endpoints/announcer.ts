import type {Address} from '../link/link.js';
import type {Log} from '../log/log.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {endpointCodes} from './codes.js';
import {createLifecycle} from './lifecycle.js';
import type {Lifecycle} from './lifecycle.js';
import type {Announcement} from './messages.js';
import {isNewer} from './order.js';

/** What an upstream says of itself to the node beside it. */
export interface Upstream {
  /** Its instance id; absent for the node's name. */
  readonly instance?: string;
  readonly service: string;
  /** Where the node reaches it. */
  readonly address: Address;
  /** Requests that may run at once. */
  readonly slots: number;
  /** Connections that may be open at once. */
  readonly connections: number;
  /** Path that answers 200 when it is ready; a hint only. */
  readonly healthPath?: string;
  readonly state: 'serving' | 'draining';
  /** Any number that differs after each start of the upstream. */
  readonly started?: number;
}

/** Settings of an announcer. */
export interface AnnouncerOptions {
  /** The node's name, the id of an upstream that gives none. */
  readonly name: string;
  /** Where other nodes reach the gate. */
  readonly gate: Address;
  readonly failureDomain: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  /** Milliseconds from announcement until an instance counts as serving. */
  readonly warmUp?: number;
}

/** Says what the upstream beside a node is; the only author of its sequence. */
export interface Announcer {
  /** Takes what the upstream says; a repeat of the same changes nothing. */
  announce(upstream: Upstream): Result<Announcement>;
  /** Takes the upstream back; what it says next begins a new incarnation. */
  withdraw(): Result<Announcement>;
  /** Announces the same again under a higher sequence, for a new home. */
  refresh(): void;
  /** Rises above a newer announcement that a home knows of this instance. */
  rise(known: Announcement): void;
  current(): Announcement | undefined;
  /** What the upstream last said; undefined when none is announced. */
  upstream(): Upstream | undefined;
  /** Calls `observe` with each new announcement. */
  onChange(observe: (announcement: Announcement) => void): void;
}

const defaultWarmUp = 10_000;

/** Creates the announcer of a node. */
export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const {timers, gate} = options;
  const log = options.log.scope('endpoints');
  const warmUp = options.warmUp ?? defaultWarmUp;
  const observers: Array<(announcement: Announcement) => void> = [];
  let upstream: Upstream | undefined;
  let life: Lifecycle | undefined;
  let current: Announcement | undefined;
  let warming: Subscription | undefined;
  let lastIncarnation = 0;
  /** The incarnation of another process that was last complained of. */
  let rival: number | undefined;

  function publish(announcement: Announcement): Announcement {
    current = announcement;
    for (const observe of observers) observe(announcement);
    return announcement;
  }

  /** A wall clock that went back must not give an older incarnation. */
  function nextIncarnation(): number {
    lastIncarnation = Math.max(Math.floor(timers.wall()), lastIncarnation + 1);
    return lastIncarnation;
  }

  function describe(said: Upstream) {
    return {
      instance: said.instance ?? options.name,
      service: said.service,
      gate,
      failureDomain: options.failureDomain,
      region: options.region,
      slots: said.slots,
      connections: said.connections,
    };
  }

  function begin(said: Upstream): Announcement {
    warming?.cancel();
    life = createLifecycle();
    if (said.state === 'draining') life.take('drain');
    const own = life;
    warming = timers.after(warmUp, () => {
      if (own.take('warmed')) step();
    });
    upstream = said;
    return publish({
      ...describe(said),
      incarnation: nextIncarnation(),
      sequence: 1,
      state: own.state(),
      since: timers.wall(),
    });
  }

  /** Publishes what is said now under the next sequence. */
  function step(): Announcement {
    return publish({
      ...current!,
      ...describe(upstream!),
      sequence: current!.sequence + 1,
      state: life!.state(),
    });
  }

  function change(said: Upstream): Announcement {
    const moved = life!.take(said.state === 'draining' ? 'drain' : 'resume');
    const same = sameFacts(describe(said), describe(upstream!));
    upstream = said;
    return moved || !same ? step() : current!;
  }

  function announce(said: Upstream): Result<Announcement> {
    if (upstream === undefined) return success(begin(said));
    const instance = current!.instance;
    if ((said.instance ?? options.name) !== instance) {
      return failure(
        endpointCodes.announcementForeign,
        `this node announces ${instance}; take it back with DELETE /upstream first`,
      );
    }
    if (said.started !== upstream.started) return success(begin(said));
    return success(change(said));
  }

  function withdraw(): Result<Announcement> {
    if (upstream === undefined) {
      return failure(
        endpointCodes.nothingAnnounced,
        'no upstream is announced here; announce one with POST /upstream',
      );
    }
    warming?.cancel();
    life!.take('leave');
    const last = step();
    upstream = undefined;
    return success(last);
  }

  function rise(known: Announcement): void {
    if (current === undefined || known.instance !== current.instance) return;
    if (!isNewer(known, current)) return;
    if (isOtherLive(known)) {
      if (rival === known.incarnation) return;
      rival = known.incarnation;
      log.error('another process announces this instance', {
        code: endpointCodes.instanceDuplicate.number,
        instance: known.instance,
        gate: known.gate,
      });
      return;
    }
    lastIncarnation = Math.max(lastIncarnation, known.incarnation);
    const sameLife = known.incarnation === current.incarnation;
    publish({
      ...current,
      incarnation: sameLife ? current.incarnation : nextIncarnation(),
      sequence: known.sequence + 1,
    });
  }

  /** A gate's address is bound by one process: at our own, the other is dead. */
  function isOtherLive(known: Announcement): boolean {
    return known.gate !== gate && known.state !== 'gone';
  }

  return {
    announce,
    withdraw,
    rise,
    refresh() {
      if (current !== undefined && upstream !== undefined) step();
    },
    current: () => current,
    upstream: () => upstream,
    onChange: observe => void observers.push(observe),
  };
}

function sameFacts(left: object, right: object): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
