import {createMachine, interpret, state, transition} from 'robot3';
import type {
  FleetMessage,
  Hello,
  HomeAddress,
  Pong,
  Report,
} from '../fleet/messages.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import type {Address, Link, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import {createSilenceWatch} from '../time/silence-watch.js';
import type {Subscription, Timers} from '../time/timers.js';
import {backoffDelay} from './backoff.js';
import {distributionLimits} from './limits.js';
import {createKnownHomes} from './known-homes.js';

/** Settings of a home; times in milliseconds. */
export interface HomeOptions {
  readonly network: Network;
  /** Where a link may go; plain addresses count as far away. */
  readonly homes: ReadonlyArray<Address | HomeAddress>;
  /** How this process introduces itself. */
  readonly self: Hello;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Period of pings; default 1000 for a node, 250 for a relay. */
  readonly heartbeat?: number;
  /** Age of a home's mark after which it is left; default 3000. */
  readonly freshness?: number;
  /** Test only: parts that keep a failure away, all on by default. */
  readonly safeguards?: {
    readonly freshness?: boolean;
    readonly silence?: boolean;
  };
}

/** What a home last told of its state. */
export interface Mark {
  /** Local time at which the home's state was still confirmed by a quorum. */
  readonly asOf: number | undefined;
  /** The version that the home last sent to all. */
  readonly version: number | undefined;
}

/** Where a home is in its life. */
export type HomeState = 'seeking' | 'connecting' | 'attached' | 'stopped';

/** Keeps one link to one home. */
export interface Home {
  /** Calls `observe` with each new link's channels, the present one included. */
  onChannels(observe: (channels: Channels) => void): void;
  /** Calls `observe` with each mark. */
  onMark(observe: (mark: Mark) => void): void;
  /** Calls `observe` with each report of a fellow home; see `Mesh`. */
  onReport(observe: (report: Report) => void): void;
  /** Tells the home that `version` is in force here. */
  acknowledge(version: number): void;
  /** Local time at which this process's own state was confirmed; see `Mark`. */
  asOf(): number | undefined;
  /** Ends the link and goes to another home. */
  leave(reason: string): void;
  state(): HomeState;
  /** The address of the home that is used or tried. */
  address(): Address;
  stop(): void;
}

const machine = createMachine({
  seeking: state(
    transition('due', 'connecting'),
    transition('stop', 'stopped'),
  ),
  connecting: state(
    transition('opened', 'attached'),
    transition('lost', 'seeking'),
    transition('stop', 'stopped'),
  ),
  attached: state(transition('lost', 'seeking'), transition('stop', 'stopped')),
  stopped: state(),
});

/**
 * Creates a home: finds the nearest process that works, keeps one link to it
 * and pings it. A home whose mark is old may be cut off from the quorum and
 * would serve old versions as current, so it is left for another; a link that
 * is silent without being closed is given up.
 */
export function createHome(options: HomeOptions): Home {
  const {network, self, timers, random, log} = options;
  const limits = distributionLimits;
  const heartbeat = options.heartbeat ?? defaultHeartbeat(self);
  const freshness = options.freshness ?? limits.freshness;
  const guarded = {freshness: true, silence: true, ...options.safeguards};
  const known = createKnownHomes(self, options.homes.map(resolveHome));
  const suspectUntil = new Map<Address, number>();
  const channelsObservers: Array<(channels: Channels) => void> = [];
  const markObservers: Array<(mark: Mark) => void> = [];
  const reportObservers: Array<(report: Report) => void> = [];
  const service = interpret(machine, () => {});
  const pings = new Map<number, number>();
  let pingNumber = 0;
  let target = known.list()[0]!;
  let attempt = 0;
  /** Homes left in a row since their marks were old. */
  let oldMarks = 0;
  let channels: Channels | undefined;
  let timer: Subscription | undefined;
  let attachedAt = 0;
  let watch = createWatch();
  let returnAt = 0;
  let homeAsOf: number | undefined;
  /** The name of the home that answered last. */
  let lastHome: string | undefined;
  let ownAsOf: number | undefined;
  let version: number | undefined;

  function createWatch() {
    const limit = heartbeat * limits.missedHeartbeats;
    return createSilenceWatch(timers, heartbeat, limit);
  }

  const current = () => service.machine.current as HomeState;
  const isSuspect = (home: HomeAddress) =>
    (suspectUntil.get(home.address) ?? 0) > timers.now();

  /** The nearest home without suspicion, else the one longest out of it. */
  function choose(): HomeAddress {
    const trusted = known.list().find(home => !isSuspect(home));
    if (trusted !== undefined) return trusted;
    const until = (home: HomeAddress) => suspectUntil.get(home.address) ?? 0;
    return known
      .list()
      .reduce((best, home) => (until(home) < until(best) ? home : best));
  }

  /**
   * Grows while no home shows a fresh mark: in a region without a quorum all
   * are old, and nodes that went round them would only load them.
   */
  function suspect(home: HomeAddress): void {
    const doubled = 2 ** Math.min(oldMarks, limits.suspicionDoublings);
    const duration = limits.suspicion * doubled * (0.5 + random.fraction());
    suspectUntil.set(home.address, timers.now() + duration);
  }

  function seek(): void {
    const delay = backoffDelay(attempt, limits.reconnect, random);
    attempt++;
    timer = timers.after(delay, () => void connect(choose()));
  }

  async function connect(home: HomeAddress): Promise<void> {
    service.send('due');
    target = home;
    try {
      const link = await network.connect(home.address);
      if (current() === 'connecting') attach(link);
      else link.close();
    } catch (error) {
      log.debug('no link to home', {
        home: home.address,
        error: (error as Error).message,
      });
      if (current() !== 'connecting') return;
      lose(undefined);
    }
  }

  function attach(link: Link): void {
    service.send('opened');
    const opened = createChannels(link);
    channels = opened;
    attachedAt = timers.now();
    watch = createWatch();
    returnAt = attachedAt + limits.returnPeriod * (0.5 + random.fraction());
    homeAsOf = undefined;
    pings.clear();
    const fleet = opened.on('fleet');
    fleet.onMessage(body => {
      if (opened === channels) receive(body as FleetMessage);
    });
    opened.onClose(() => lose(opened));
    fleet.send(lastHome === undefined ? self : {...self, from: lastHome});
    log.info('home attached', {home: target.address});
    for (const observe of channelsObservers) observe(opened);
    beat(opened);
  }

  function beat(opened: Channels): void {
    if (opened !== channels) return;
    pings.set(++pingNumber, timers.now());
    opened.on('fleet').send({
      kind: 'ping',
      number: pingNumber,
      ...(version !== undefined && {version}),
    });
    timer = timers.after(heartbeat, () => {
      if (opened !== channels) return;
      check(opened);
      beat(opened);
    });
  }

  function check(opened: Channels): void {
    const now = timers.now();
    const hearing = watch.look();
    if (hearing === 'paused') return;
    if (guarded.silence && hearing === 'silent') {
      end(opened, 'home is silent');
      return;
    }
    const fresh = Math.max(homeAsOf ?? attachedAt, attachedAt);
    const isOld = now - fresh > freshness;
    const hasOther = known
      .list()
      .some(home => home.address !== target.address && !isSuspect(home));
    if (guarded.freshness && isOld && hasOther) {
      oldMarks++;
      end(opened, 'the mark of the home is old');
      return;
    }
    if (now > returnAt) lookNearer();
  }

  function receive(message: FleetMessage): void {
    if (message.kind === 'pong') receivePong(message);
    if (message.kind !== 'report') return;
    for (const observe of reportObservers) observe(message);
  }

  function receivePong(pong: Pong): void {
    lastHome = pong.home ?? lastHome;
    if (pong.homes !== undefined) known.learn(pong.homes);
    const sentAt = pings.get(pong.number);
    if (sentAt === undefined) return;
    for (const number of pings.keys()) {
      if (number <= pong.number) pings.delete(number);
    }
    watch.hear();
    // Counted from the ping, so that a delayed answer never looks fresher.
    const asOf = pong.age === undefined ? undefined : sentAt - pong.age;
    homeAsOf = asOf ?? homeAsOf;
    if (asOf !== undefined && timers.now() - asOf < freshness) trust();
    for (const observe of markObservers) observe({asOf, version: pong.version});
    const isInStep = version !== undefined && version >= (pong.version ?? 0);
    if (isInStep) ownAsOf = asOf ?? ownAsOf;
  }

  /**
   * A mark stays fresh for a while after the quorum was lost; links that end
   * sooner than that must not begin the backoff anew, or a herd that finds no
   * proof would hammer its homes.
   */
  function trust(): void {
    oldMarks = 0;
    suspectUntil.delete(target.address);
    if (timers.now() - attachedAt >= freshness) attempt = 0;
  }

  /** Goes back to a nearer home once it accepts links again. */
  function lookNearer(): void {
    const now = timers.now();
    returnAt = now + limits.returnPeriod * (0.5 + random.fraction());
    const best = choose();
    if (known.rankOf(best) >= known.rankOf(target)) return;
    const old = channels;
    network.connect(best.address).then(
      link => {
        if (channels !== old || old === undefined) {
          link.close();
          return;
        }
        depart(old);
        service.send('lost');
        service.send('due');
        target = best;
        attach(link);
      },
      () => suspect(best),
    );
  }

  function depart(opened: Channels): void {
    timer?.cancel();
    channels = undefined;
    opened.on('fleet').send({kind: 'goodbye'});
    opened.link.close();
  }

  function end(opened: Channels, reason: string): void {
    log.warn('home left', {home: target.address, reason});
    depart(opened);
    lose(undefined);
  }

  function lose(opened: Channels | undefined): void {
    if (opened !== channels || current() === 'stopped') return;
    timer?.cancel();
    channels = undefined;
    suspect(target);
    service.send('lost');
    seek();
  }

  function start(): void {
    // The first try is not delayed: the homes bound what a herd may take.
    timer = timers.after(0, () => void connect(choose()));
  }

  start();
  return {
    onChannels(observe) {
      channelsObservers.push(observe);
      if (channels !== undefined) observe(channels);
    },
    onMark: observe => void markObservers.push(observe),
    onReport: observe => void reportObservers.push(observe),
    acknowledge(next) {
      version = next;
      channels?.on('fleet').send({kind: 'acknowledgement', version: next});
    },
    asOf: () => ownAsOf,
    leave(reason) {
      if (channels !== undefined) end(channels, reason);
    },
    state: current,
    address: () => target.address,
    stop() {
      timer?.cancel();
      service.send('stop');
      if (channels !== undefined) depart(channels);
    },
  };
}

function defaultHeartbeat(self: Hello): number {
  if (self.kind === 'node') return distributionLimits.nodeHeartbeat;
  return distributionLimits.relayHeartbeat;
}

function resolveHome(home: Address | HomeAddress): HomeAddress {
  return typeof home === 'string' ? {address: home} : home;
}
