/**
 * The quotas at one home: receives what nodes ask, reports to the leader of the
 * control group, and passes on the reports of relays. Nothing is sent while no
 * quota is configured.
 */
import type {Configuration} from '../configuration/configuration.js';
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Subscription, Timers} from '../time/timers.js';
import {quotasOf} from './budget.js';
import type {QuotaBounds} from './budget.js';
import {createHomeCredits} from './home-credits.js';
import {createHomeShares} from './home-shares.js';
import {createLeaseClock} from './lease-clock.js';
import type {DemandReport, PeerMessage, Shares} from './messages.js';
import {quotaPeriods} from './periods.js';
import {parseAsk, parsePeerMessage, withoutZeros} from './schema.js';

/** Options of `createQuotaExchange`. */
export interface QuotaExchangeOptions {
  /** The home's name. */
  readonly name: string;
  readonly isRelay: boolean;
  readonly timers: Timers;
  readonly log: Log;
  readonly bounds: QuotaBounds;
}

/** Replies to a report; undefined if this process does not lead the group. */
export type LeaderReply = (report: DemandReport) => Shares | undefined;

/** The quotas of one home. */
export interface QuotaExchange {
  /** Serves a node. */
  accept(channels: Channels): void;
  /** Exchanges reports, shares and credits with another home. */
  peer(channels: Channels): void;
  /** Follows the configuration in force at this home. */
  update(configuration: Configuration): void;
  /** Registers the leader's part of a control process. */
  lead(reply: LeaderReply): void;
  stop(): void;
}

interface Peer {
  readonly channel: Channel;
  readonly link: Channels['link'];
  isReady: boolean;
  hasSentReady: boolean;
}

interface Loan {
  readonly done: (count: number) => void;
  readonly timer: Subscription;
  readonly workspace: string;
  readonly count: number;
  /** The homes that have not been asked, the present one first. */
  readonly lenders: Peer[];
}

/** Homes that are asked for credits before a request is refused. */
const maxLenders = 8;

/** Creates the quotas of one home. */
export function createQuotaExchange(
  options: QuotaExchangeOptions,
): QuotaExchange {
  const {name, timers, bounds} = options;
  const log = options.log.scope('quotas');
  const life = Math.floor(timers.wall()).toString(36);
  const leaseClock = createLeaseClock(timers);
  const peers = new Set<Peer>();
  /** Links over which relays report. */
  const relays = new Map<string, Peer>();
  /** Called when the first quota is configured. */
  const nodeStarts = new Set<() => void>();
  const loans = new Map<number, Loan>();
  let leaderReply: LeaderReply = () => undefined;
  let leaderPeer: Peer | undefined;
  let leader = '';
  let repliedAt = -Infinity;
  let lastLoan = 0;
  let nextLender = 0;
  let isActive = false;
  let wasLeased = false;
  let timer: Subscription | undefined;
  let isReportScheduled = false;

  const shares = createHomeShares({
    life,
    leaseClock,
    entries: share => credits.entries(share),
  });
  const credits = createHomeCredits({
    timers,
    bounds,
    shares,
    borrow,
    onMissingShare: reportSoon,
  });

  function send(peer: Peer, message: PeerMessage): void {
    peer.channel.send(message);
  }

  function sendReady(peer: Peer): void {
    if (!isActive || peer.hasSentReady) return;
    peer.hasSentReady = true;
    send(peer, {kind: 'ready', name});
  }

  const readyPeers = () => [...peers].filter(({isReady}) => isReady);

  function report(): void {
    checkLease();
    const {sequence, isFull, entries} = shares.report();
    const message: DemandReport = {
      kind: 'demand',
      home: name,
      life,
      sequence,
      isFull,
      isRelay: options.isRelay,
      entries,
    };
    const reply = leaderReply(message);
    if (reply !== undefined) receiveShares(reply, undefined);
    else sendToLeader(message);
  }

  /** Sends a report to the leader, or to all homes while it is not known. */
  function sendToLeader(message: DemandReport): void {
    const isSilent = timers.now() - repliedAt > quotaPeriods.leaderSilence;
    if (isSilent) leaderPeer = undefined;
    const targets = leaderPeer === undefined ? readyPeers() : [leaderPeer];
    for (const peer of targets) send(peer, message);
  }

  function reportSoon(): void {
    if (isReportScheduled || !isActive) return;
    isReportScheduled = true;
    timers.after(quotaPeriods.askDelay, () => {
      isReportScheduled = false;
      if (isActive) report();
    });
  }

  function checkLease(): void {
    const isLeased = shares.isLeased();
    if (wasLeased && !isLeased) {
      log.warn('lease of quotas expired', {leader});
      credits.update();
    }
    wasLeased = isLeased;
  }

  function receiveReport(message: DemandReport, peer: Peer): void {
    if (message.isRelay) relays.set(message.home, peer);
    const reply = leaderReply(message);
    if (reply !== undefined) return send(peer, reply);
    // The reports of control processes reach the leader directly.
    if (options.isRelay || !message.isRelay || !peers.has(peer)) return;
    sendToLeader({...message, isRelay: false});
  }

  function receiveShares(message: Shares, peer: Peer | undefined): void {
    if (message.home !== name) {
      const relay = relays.get(message.home);
      if (relay !== undefined) send(relay, message);
      return;
    }
    const outcome = shares.accept(message);
    if (outcome === 'ignored') return;
    repliedAt = timers.now();
    leaderPeer = peer;
    wasLeased = shares.isLeased();
    if (leader !== message.leader) {
      leader = message.leader;
      log.info('leader of quotas changed', {leader, term: message.term});
    }
    if (outcome === 'needs-all') return reportSoon();
    if (outcome !== 'changed') return;
    credits.update();
    // The leader raises other shares once this one has been reported.
    reportSoon();
  }

  /** Asks the other homes in turn, as each of them may have credits left. */
  function borrow(
    workspace: string,
    count: number,
    done: (count: number) => void,
  ): boolean {
    const candidates = readyPeers();
    if (candidates.length === 0 || count === 0) return false;
    const first = nextLender++ % candidates.length;
    const lenders = [
      ...candidates.slice(first),
      ...candidates.slice(0, first),
    ].slice(0, maxLenders);
    const number = ++lastLoan;
    const timer = timers.after(quotaPeriods.homeWait, () => endLoan(number, 0));
    const loan = {done, timer, workspace, count, lenders};
    loans.set(number, loan);
    askLender(number, loan);
    return true;
  }

  function askLender(number: number, loan: Loan): void {
    const {workspace, count, lenders} = loan;
    const lender = lenders[0];
    if (lender === undefined) endLoan(number, 0);
    else send(lender, {kind: 'borrow', workspace, number, count});
  }

  function askNextLender(number: number, loan: Loan): void {
    loan.lenders.shift();
    askLender(number, loan);
  }

  function receiveLend(number: number, count: number, peer: Peer): void {
    const loan = loans.get(number);
    if (loan === undefined || loan.lenders[0] !== peer) return;
    if (count === 0) askNextLender(number, loan);
    else endLoan(number, count);
  }

  function endLoan(number: number, count: number): void {
    const loan = loans.get(number);
    if (loan === undefined) return;
    loans.delete(number);
    loan.timer.cancel();
    loan.done(count);
  }

  function receive(message: PeerMessage, peer: Peer): void {
    switch (message.kind) {
      case 'ready':
        peer.isReady = true;
        return sendReady(peer);
      case 'demand':
        return receiveReport(message, peer);
      case 'shares':
        return receiveShares(message, peer);
      case 'borrow': {
        const count = credits.lend(message.workspace, message.count);
        return send(peer, {kind: 'lend', number: message.number, count});
      }
      case 'lend':
        return receiveLend(message.number, message.count, peer);
    }
  }

  function removePeer(peer: Peer): void {
    peers.delete(peer);
    if (leaderPeer === peer) leaderPeer = undefined;
    for (const [home, each] of relays) {
      if (each === peer) relays.delete(home);
    }
    for (const [number, loan] of loans) {
      if (loan.lenders[0] === peer) askNextLender(number, loan);
    }
  }

  function accept(channels: Channels): void {
    const channel = channels.on('quotas');
    const node = credits.node((sequence, entries) =>
      channel.send({
        kind: 'credits',
        sequence,
        entries: entries.map(withoutZeros),
      }),
    );
    const start = () => channel.send({kind: 'ready', name});
    if (isActive) start();
    else nodeStarts.add(start);
    channels.onClose(() => {
      nodeStarts.delete(start);
      node.close();
    });
    channel.onMessage(body => {
      const ask = parseAsk(body);
      if (ask === undefined) logInvalid(channels);
      else node.ask(ask);
    });
  }

  function peerWith(channels: Channels): void {
    const {link} = channels;
    const channel = channels.on('quotas');
    const peer = {channel, link, isReady: false, hasSentReady: false};
    peers.add(peer);
    channels.onClose(() => removePeer(peer));
    channel.onMessage(body => {
      const message = parsePeerMessage(body);
      if (message === undefined) logInvalid(channels);
      else receive(message, peer);
    });
    sendReady(peer);
  }

  function logInvalid({link}: Channels): void {
    log.warn('quota message refused', {peer: link.peer});
  }

  function activate(): void {
    isActive = true;
    for (const start of nodeStarts) start();
    nodeStarts.clear();
    for (const peer of peers) sendReady(peer);
    timer = timers.every(quotaPeriods.renewal, report);
    reportSoon();
  }

  function deactivate(): void {
    isActive = false;
    timer?.cancel();
    timer = undefined;
  }

  return {
    accept,
    peer: peerWith,
    update(configuration) {
      const quotas = quotasOf(configuration);
      credits.configure(quotas);
      if (quotas.size > 0 && !isActive) activate();
      if (quotas.size === 0 && isActive) deactivate();
    },
    lead: reply => void (leaderReply = reply),
    stop: deactivate,
  };
}
