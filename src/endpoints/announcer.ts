import type {Address} from '../link/link.js';
import type {Log} from '../log/log.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {endpointCodes} from './codes.js';
import {createLifecycle} from './lifecycle.js';
import type {Lifecycle} from './lifecycle.js';
import type {Announcement, KeeperOffer} from './messages.js';
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
  readonly state: 'warming' | 'serving' | 'draining';
  /** Any number that differs after each start of the upstream. */
  readonly started?: number;
}

/** The instances that operators have drained. */
export interface Drains {
  has(instance: string): boolean;
}

/** Settings of an announcer. */
export interface AnnouncerOptions {
  /** The node's name, the id of an upstream that gives none. */
  readonly name: string;
  /** Where other nodes reach the gate. */
  readonly gate: Address;
  readonly failureDomain: string;
  readonly region: string;
  /** Absent when the node holds no claims. */
  readonly keeper?: KeeperOffer;
  readonly timers: Timers;
  readonly log: Log;
  /**
   * Milliseconds for which an upstream that says `serving` at once counts as
   * warming; one that says `warming` first ends that itself. Default 10,000.
   */
  readonly warmUp?: number;
}

/** Says what the upstream beside a node is; the only author of its sequence. */
export interface Announcer {
  /** Takes what the upstream says; a repeat of the same changes nothing. */
  announce(upstream: Upstream): Result<Announcement>;
  /** Takes the upstream back; what it says next begins a new incarnation. */
  withdraw(): Result<Announcement>;
  /** Operators' drains by instance; they hold whatever the upstream says. */
  setDrains(drains: Drains): void;
  /** Whether connections to the upstream work; gone while they do not. */
  setReachable(reachable: boolean): void;
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
  let said: Upstream | undefined;
  let drains: Drains = new Set();
  let reachable = true;
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

  function describe(upstream: Upstream) {
    return {
      instance: upstream.instance ?? options.name,
      service: upstream.service,
      gate,
      failureDomain: options.failureDomain,
      region: options.region,
      slots: upstream.slots,
      connections: upstream.connections,
      ...(options.keeper !== undefined && {keeper: options.keeper}),
    };
  }

  function begin(upstream: Upstream): Announcement {
    warming?.cancel();
    const own = createLifecycle();
    life = own;
    if (isDraining(upstream)) own.take('drain');
    if (upstream.state === 'serving') {
      warming = timers.after(warmUp, () => {
        if (own.take('warmed')) step();
      });
    }
    return publish({
      ...describe(upstream),
      incarnation: nextIncarnation(),
      sequence: 1,
      state: own.state(),
      since: timers.wall(),
    });
  }

  const isDraining = (upstream: Upstream) =>
    upstream.state === 'draining' || drains.has(describe(upstream).instance);

  /** Publishes what is so now under the next sequence. */
  function step(): Announcement {
    return publish({
      ...current!,
      ...(said === undefined ? {} : describe(said)),
      sequence: current!.sequence + 1,
      state: life!.state(),
    });
  }

  function leave(): Announcement {
    warming?.cancel();
    return life!.take('leave') ? step() : current!;
  }

  /** Moves the state to where what was said last puts it. */
  function move(before: Upstream, next: Upstream): boolean {
    if (isDraining(next)) return life!.take('drain');
    if (life!.state() === 'draining') return life!.take('resume');
    const warmed = before.state === 'warming' && next.state === 'serving';
    return warmed && life!.take('warmed');
  }

  /** Announces what has changed, if anything has. */
  function update(before: Upstream, next: Upstream): Announcement {
    said = next;
    if (!reachable) return current!;
    if (life!.state() === 'gone') return begin(next);
    if (next.started !== before.started) return begin(next);
    const moved = move(before, next);
    const same = isSame(describe(before), describe(next));
    return moved || !same ? step() : current!;
  }

  function announce(next: Upstream): Result<Announcement> {
    const before = said;
    if (before === undefined) {
      said = next;
      return success(begin(next));
    }
    const {instance} = describe(before);
    if (describe(next).instance !== instance) {
      return failure(
        endpointCodes.announcementForeign,
        `this node announces ${instance}; take it back with DELETE /upstream first`,
      );
    }
    return success(update(before, next));
  }

  function withdraw(): Result<Announcement> {
    if (said === undefined) {
      return failure(
        endpointCodes.nothingAnnounced,
        'no upstream is announced here; announce one with POST /upstream',
      );
    }
    const last = leave();
    said = undefined;
    reachable = true;
    return success(last);
  }

  function rise(known: Announcement): void {
    if (current === undefined || known.instance !== current.instance) return;
    if (!isNewer(known, current)) return;
    if (isOtherLive(known)) {
      complain(known);
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

  function complain(known: Announcement): void {
    if (rival === known.incarnation) return;
    rival = known.incarnation;
    log.error('another process announces this instance', {
      code: endpointCodes.instanceDuplicate.number,
      instance: known.instance,
      gate: known.gate,
    });
  }

  return {
    announce,
    withdraw,
    rise,
    setDrains(next) {
      drains = next;
      if (said !== undefined) update(said, said);
    },
    setReachable(next) {
      if (next === reachable || said === undefined) return;
      reachable = next;
      if (reachable) update(said, said);
      else leave();
    },
    refresh() {
      if (current !== undefined && said !== undefined) step();
    },
    current: () => current,
    upstream: () => said,
    onChange: observe => void observers.push(observe),
  };
}

function isSame(left: object, right: object): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
