import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import {createSilenceWatch} from '../time/silence-watch.js';
import type {SilenceWatch} from '../time/silence-watch.js';
import {elapsedSince} from '../time/moment.js';
import type {Subscription, Timers} from '../time/timers.js';
import {receiveHello} from './hello.js';
import {fleetLimits} from './limits.js';
import type {
  FleetMessage,
  Hello,
  HomeAddress,
  HomeSummary,
  Ping,
  HomePosition,
  Report,
} from './messages.js';
import {createNodeTable} from './node-table.js';
import type {NodeEntry} from './node-table.js';
import {createNodeMoves} from './node-moves.js';
import {joinSummaries} from './summary.js';
import type {FleetSummary} from './summary.js';

/** Options of createFleet. */
export interface FleetOptions {
  readonly self: Hello;
  readonly timers: Timers;
  readonly log: Log;
  /** The position that answers to pings report. */
  readonly position: () => HomePosition;
  /**
   * Number of peer homes that report their nodes to this home; default none.
   */
  readonly peerCount?: () => number;
  /** Homes that nodes may use in addition to their settings; default none. */
  readonly homes?: () => readonly HomeAddress[];
}

/** The nodes and peer homes of one home. */
export interface Fleet {
  /** Handles an accepted link: hello, heartbeats and acknowledgements. */
  accept(channels: Channels): void;
  /** Calls `observe` after the hello of an accepted link. */
  onHello(observe: (hello: Hello, channels: Channels) => void): void;
  /** Sends the reports of this home over a link that it opened itself. */
  report(channels: Channels): void;
  /** Handles a report received over a link that this home opened itself. */
  receiveReport(report: Report): void;
  /**
   * Returns what is in force in each failure domain, for `version`; by default
   * the version of this home.
   */
  summary(version?: number): FleetSummary;
  stop(): void;
}

const noHomes: readonly HomeAddress[] = [];

/** A summary received from another home. */
interface ReceivedSummary {
  readonly summary: HomeSummary;
  /**
   * Local time at which the summary was made, computed from the age that it
   * reports.
   */
  readonly madeAt: number;
}

/** Creates the fleet of one home. */
export function createFleet(options: FleetOptions): Fleet {
  const {self, timers, log, position} = options;
  const nodes = createNodeTable(timers);
  const received = new Map<string, ReceivedSummary>();
  const moves = createNodeMoves(timers);
  const startedAt = timers.now();
  /** Relays below this home, whose summaries it forwards. */
  const relays = new Set<string>();
  const helloObservers: Array<(hello: Hello, channels: Channels) => void> = [];
  const reportChannels = new Set<Channel>();
  /** The homes last sent over each link, which are not sent again. */
  const sentHomes = new WeakMap<Channel, readonly HomeAddress[]>();
  let isChanged = false;
  let reportedAt = Number.NEGATIVE_INFINITY;

  function accept(channels: Channels): void {
    const channel = channels.on('fleet');
    let name = channels.link.peer;
    const watch = watchSilence(channels, () => name);
    receiveHello(channel, {
      // A probe is not answered with other homes: a peer home that probes this
      // one keeps its link to just this one.
      answer: ping => answer(channel, ping, noHomes),
      acceptHello(hello) {
        name = hello.name;
        return acceptLink(hello, channels, watch);
      },
      reject() {
        log.warn('link without a hello', {peer: channels.link.peer});
        channels.link.close();
      },
    });
  }

  function acceptLink(
    hello: Hello,
    channels: Channels,
    watch: SilenceWatch,
  ): (message: FleetMessage) => void {
    const receiveFrom =
      hello.kind === 'node'
        ? acceptNode(hello, channels)
        : acceptPeer(hello, channels);
    for (const observe of helloObservers) observe(hello, channels);
    return message => {
      watch.recordActivity();
      receiveFrom(message);
    };
  }

  /**
   * A link that failed without being closed stays open at this end; it is
   * recognized by its silence.
   */
  function watchSilence(channels: Channels, name: () => string): SilenceWatch {
    const {silenceTimeout} = fleetLimits;
    const watch = createSilenceWatch(
      timers,
      silenceTimeout / 2,
      silenceTimeout,
    );
    const timer: Subscription = timers.every(silenceTimeout / 2, () => {
      if (watch.check() !== 'silent') return;
      timer.cancel();
      log.warn('link is silent', {name: name()});
      channels.link.close();
    });
    channels.onClose(() => timer.cancel());
    return watch;
  }

  function acceptNode(hello: Hello, channels: Channels) {
    const node = nodes.add(hello, channels);
    moves.addArrival(hello);
    isChanged = true;
    channels.onClose(() => {
      nodes.markLost(node);
      isChanged = true;
    });
    const channel = channels.on('fleet');
    return (message: FleetMessage) => receiveFromNode(node, channel, message);
  }

  function receiveFromNode(
    node: NodeEntry,
    channel: Channel,
    message: FleetMessage,
  ): void {
    node.lastMessageAt = timers.now();
    switch (message.kind) {
      case 'ping':
        acknowledge(node, message.version);
        answer(channel, message, homes());
        break;
      case 'acknowledgement':
        acknowledge(node, message.version);
        break;
      case 'goodbye':
        nodes.remove(node);
        isChanged = true;
        break;
    }
  }

  function acknowledge(node: NodeEntry, version: number | undefined): void {
    if (version === undefined || version === node.version) return;
    node.version = Math.max(version, node.version ?? version);
    isChanged = true;
  }

  function acceptPeer(hello: Hello, channels: Channels) {
    const channel = channels.on('fleet');
    if (hello.kind === 'control') report(channels);
    if (hello.kind === 'relay') relays.add(hello.name);
    return (message: FleetMessage) => {
      // A peer home keeps its link to just this home.
      const otherHomes = hello.kind === 'control' ? noHomes : homes();
      if (message.kind === 'ping') answer(channel, message, otherHomes);
      if (message.kind === 'report') receiveReport(message);
    };
  }

  const homes = () => options.homes?.() ?? noHomes;

  function answer(
    channel: Channel,
    ping: Ping,
    otherHomes: readonly HomeAddress[],
  ): void {
    const {version, asOf, confirmedAt} = position();
    const age = asOf === undefined ? undefined : timers.now() - asOf;
    const fullAge = confirmedAt && elapsedSince(confirmedAt, timers);
    const previous = sentHomes.get(channel);
    channel.send({
      kind: 'pong',
      number: ping.number,
      ...(previous === undefined && {home: self.name}),
      ...(previous !== otherHomes &&
        otherHomes.length > 0 && {homes: otherHomes}),
      ...(age !== undefined && {age: Math.ceil(age)}),
      ...(isLarger(fullAge, age) && {fullAge: Math.ceil(fullAge)}),
      ...(version !== undefined && {version}),
    });
    sentHomes.set(channel, otherHomes);
  }

  function report(channels: Channels): void {
    const channel = channels.on('fleet');
    reportChannels.add(channel);
    channels.onClose(() => reportChannels.delete(channel));
    isChanged = true;
  }

  function receiveReport(message: Report): void {
    for (const summary of message.summaries) {
      const madeAt = timers.now() - summary.age;
      const previous = received.get(summary.home);
      if (previous !== undefined && previous.madeAt > madeAt) continue;
      received.set(summary.home, {summary, madeAt});
      moves.addArrivals(summary);
      moves.removeOutdated(summary.home, madeAt);
      if (relays.has(summary.home)) isChanged = true;
    }
  }

  /** Whether all homes that report nodes have done so. */
  function isSettled(): boolean {
    const age = timers.now() - startedAt;
    if (age >= fleetLimits.peerTimeout) return true;
    const reporting = [...received.keys()].filter(name => !relays.has(name));
    const isComplete = reporting.length >= (options.peerCount?.() ?? 0);
    return isComplete && age >= fleetLimits.linkSetupTime;
  }

  function summarizeNodes(): HomeSummary {
    return nodes.summarize(self.name, position().version ?? 0);
  }

  function withAge({summary, madeAt}: ReceivedSummary): HomeSummary {
    return {...summary, age: timers.now() - madeAt};
  }

  function sendReports(): void {
    nodes.removeExpired();
    dropExpired();
    const now = timers.now();
    const isReportDue =
      isChanged || now - reportedAt >= fleetLimits.maxReportInterval;
    if (!isReportDue || reportChannels.size === 0) return;
    isChanged = false;
    reportedAt = now;
    const relaySummaries = [...relays]
      .map(name => received.get(name))
      .filter(summary => summary !== undefined);
    const summaries = [summarizeNodes(), ...relaySummaries.map(withAge)];
    for (const channel of reportChannels)
      channel.send({kind: 'report', summaries});
  }

  function dropExpired(): void {
    const oldest = timers.now() - fleetLimits.summaryRetention;
    for (const [name, {madeAt}] of received) {
      if (madeAt > oldest) continue;
      log.warn('home dropped from the summary', {home: name});
      received.delete(name);
      moves.remove(name);
      relays.delete(name);
    }
  }

  const timer = timers.every(fleetLimits.minReportInterval, sendReports);

  return {
    accept,
    onHello: observe => void helloObservers.push(observe),
    report,
    receiveReport,
    summary(version = position().version ?? 0) {
      const homes = [summarizeNodes(), ...[...received.values()].map(withAge)];
      return joinSummaries(version, homes, moves.list(), isSettled());
    },
    stop: () => timer.cancel(),
  };
}

/** Whether the full age is larger by more than the drift of clocks. */
function isLarger(
  fullAge: number | undefined,
  age: number | undefined,
): fullAge is number {
  if (fullAge === undefined || age === undefined) return false;
  return fullAge > age + fleetLimits.clockDrift;
}
