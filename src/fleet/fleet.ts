import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import {createSilenceWatch} from '../time/silence-watch.js';
import type {SilenceWatch} from '../time/silence-watch.js';
import type {Subscription, Timers} from '../time/timers.js';
import {receiveHello} from './hello.js';
import {fleetLimits} from './limits.js';
import type {
  FleetMessage,
  Hello,
  HomeAddress,
  HomeSummary,
  Ping,
  Position,
  Report,
} from './messages.js';
import {createRoster} from './roster.js';
import type {Member} from './roster.js';
import {createMoves} from './moves.js';
import {joinSummaries} from './summary.js';
import type {FleetSummary} from './summary.js';

/** Settings of a fleet. */
export interface FleetOptions {
  readonly self: Hello;
  readonly timers: Timers;
  readonly log: Log;
  /** What pings are answered with. */
  readonly position: () => Position;
  /** How many fellow homes tell this one of their nodes; default none. */
  readonly fellows?: () => number;
  /** Homes that nodes are told of besides their settings; default none. */
  readonly homes?: () => readonly HomeAddress[];
}

/** The nodes and fellow homes of one home. */
export interface Fleet {
  /** Takes an accepted link: hello, heartbeats, acknowledgements. */
  accept(channels: Channels): void;
  /** Calls `observe` when an accepted link has introduced itself. */
  onHello(observe: (hello: Hello, channels: Channels) => void): void;
  /** Sends this home's reports over a link that it opened itself. */
  report(channels: Channels): void;
  /** Takes a report that came over a link that this home opened itself. */
  receive(report: Report): void;
  /** What is in force where, for `version`; by default this home's own. */
  summary(version?: number): FleetSummary;
  stop(): void;
}

const noHomes: readonly HomeAddress[] = [];

interface Received {
  readonly summary: HomeSummary;
  /** Local time at which the summary was made, as far as is known. */
  readonly madeAt: number;
}

/** Creates the fleet of one home. */
export function createFleet(options: FleetOptions): Fleet {
  const {self, timers, log, position} = options;
  const roster = createRoster(timers);
  const received = new Map<string, Received>();
  const moves = createMoves(timers);
  const startedAt = timers.now();
  /** Homes that this one speaks for: relays below it. */
  const below = new Set<string>();
  const observers: Array<(hello: Hello, channels: Channels) => void> = [];
  const upstreams = new Set<Channel>();
  /** What links were told of this home and others, which is not said again. */
  const told = new WeakMap<Channel, readonly HomeAddress[]>();
  let changed = false;
  let reportedAt = Number.NEGATIVE_INFINITY;

  function accept(channels: Channels): void {
    const fleet = channels.on('fleet');
    let name = channels.link.peer;
    const watch = watchSilence(channels, () => name);
    receiveHello(fleet, {
      // Other homes are not told: a fellow that asks keeps its link to this one.
      answer: ping => answer(fleet, ping, noHomes),
      greet(hello) {
        name = hello.name;
        return greet(hello, channels, watch);
      },
      refuse() {
        log.warn('link without a hello', {peer: channels.link.peer});
        channels.link.close();
      },
    });
  }

  function greet(
    hello: Hello,
    channels: Channels,
    watch: SilenceWatch,
  ): (message: FleetMessage) => void {
    const receiveFrom =
      hello.kind === 'node'
        ? greetNode(hello, channels)
        : greetHome(hello, channels);
    for (const observe of observers) observe(hello, channels);
    return message => {
      watch.recordActivity();
      receiveFrom(message);
    };
  }

  /** A link that died without a word keeps its end open; silence tells. */
  function watchSilence(channels: Channels, name: () => string): SilenceWatch {
    const {silence} = fleetLimits;
    const watch = createSilenceWatch(timers, silence / 2, silence);
    const timer: Subscription = timers.every(silence / 2, () => {
      if (watch.check() !== 'silent') return;
      timer.cancel();
      log.warn('link is silent', {name: name()});
      channels.link.close();
    });
    channels.onClose(() => timer.cancel());
    return watch;
  }

  function greetNode(hello: Hello, channels: Channels) {
    const member = roster.add(hello, channels);
    moves.arrived(hello);
    changed = true;
    channels.onClose(() => {
      roster.lose(member);
      changed = true;
    });
    const fleet = channels.on('fleet');
    return (message: FleetMessage) => receiveFromNode(member, fleet, message);
  }

  function receiveFromNode(
    member: Member,
    fleet: Channel,
    message: FleetMessage,
  ): void {
    member.heardAt = timers.now();
    switch (message.kind) {
      case 'ping':
        acknowledge(member, message.version);
        answer(fleet, message, homes());
        break;
      case 'acknowledgement':
        acknowledge(member, message.version);
        break;
      case 'goodbye':
        roster.remove(member);
        changed = true;
        break;
    }
  }

  function acknowledge(member: Member, version: number | undefined): void {
    if (version === undefined || version === member.version) return;
    member.version = Math.max(version, member.version ?? version);
    changed = true;
  }

  function greetHome(hello: Hello, channels: Channels) {
    const fleet = channels.on('fleet');
    if (hello.kind === 'control') report(channels);
    if (hello.kind === 'relay') below.add(hello.name);
    return (message: FleetMessage) => {
      // A fellow keeps its link to just this home.
      const others = hello.kind === 'control' ? noHomes : homes();
      if (message.kind === 'ping') answer(fleet, message, others);
      if (message.kind === 'report') receive(message);
    };
  }

  const homes = () => options.homes?.() ?? noHomes;

  function answer(
    fleet: Channel,
    ping: Ping,
    others: readonly HomeAddress[],
  ): void {
    const {version, asOf} = position();
    const known = told.get(fleet);
    fleet.send({
      kind: 'pong',
      number: ping.number,
      ...(known === undefined && {home: self.name}),
      ...(known !== others && others.length > 0 && {homes: others}),
      ...(asOf !== undefined && {age: Math.ceil(timers.now() - asOf)}),
      ...(version !== undefined && {version}),
    });
    told.set(fleet, others);
  }

  function report(channels: Channels): void {
    const fleet = channels.on('fleet');
    upstreams.add(fleet);
    channels.onClose(() => upstreams.delete(fleet));
    changed = true;
  }

  function receive(message: Report): void {
    for (const summary of message.summaries) {
      const madeAt = timers.now() - summary.age;
      const known = received.get(summary.home);
      if (known !== undefined && known.madeAt > madeAt) continue;
      received.set(summary.home, {summary, madeAt});
      moves.note(summary);
      moves.heard(summary.home, madeAt);
      if (below.has(summary.home)) changed = true;
    }
  }

  /** Whether all who speak for nodes have had their say. */
  function isSettled(): boolean {
    const age = timers.now() - startedAt;
    if (age >= fleetLimits.fellowsAwaited) return true;
    const heard = [...received.keys()].filter(name => !below.has(name));
    const isComplete = heard.length >= (options.fellows?.() ?? 0);
    return isComplete && age >= fleetLimits.settling;
  }

  function own(): HomeSummary {
    return roster.summarize(self.name, position().version ?? 0);
  }

  function aged({summary, madeAt}: Received): HomeSummary {
    return {...summary, age: timers.now() - madeAt};
  }

  function sendReports(): void {
    roster.forget();
    dropOld();
    const now = timers.now();
    const isDue = changed || now - reportedAt >= fleetLimits.reportIdle;
    if (!isDue || upstreams.size === 0) return;
    changed = false;
    reportedAt = now;
    const relays = [...below]
      .map(name => received.get(name))
      .filter(one => one !== undefined);
    const summaries = [own(), ...relays.map(aged)];
    for (const fleet of upstreams) fleet.send({kind: 'report', summaries});
  }

  function dropOld(): void {
    const oldest = timers.now() - fleetLimits.summaryDropped;
    for (const [name, {madeAt}] of received) {
      if (madeAt > oldest) continue;
      log.warn('home dropped from the summary', {home: name});
      received.delete(name);
      moves.forget(name);
      below.delete(name);
    }
  }

  const timer = timers.every(fleetLimits.reportPeriod, sendReports);

  return {
    accept,
    onHello: observe => void observers.push(observe),
    report,
    receive,
    summary(version = position().version ?? 0) {
      const homes = [own(), ...[...received.values()].map(aged)];
      return joinSummaries(version, homes, moves.list(), isSettled());
    },
    stop: () => timer.cancel(),
  };
}
