/**
 * Calls to the gates of other nodes. Once the head of a request was written to
 * a gate, only the gate's own word can say `not-run`; a link that breaks after
 * that leaves the work in doubt.
 */
import type {Address} from '../link/link.js';
import type {Code} from '../result/code.js';
import {Failure} from '../result/failure.js';
import {resultTable} from '../result/table.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Answer} from './answer.js';
import {requestCodes} from './codes.js';
import {delayUntil} from './deadline.js';
import {createConnections} from './connections.js';
import type {Connections} from './connections.js';
import {endToEnd, findHeader, headerNames} from './headers.js';
import type {Call, Cancel, Refusal} from './messages.js';
import type {Peer} from './peers.js';
import {refusal} from './refusal.js';
import type {Safeguards} from './safeguards.js';
import {send} from './sending.js';
import type {Receiver, Sending} from './sending.js';

/** Options of `createGateLinks`. */
export interface GateLinksOptions {
  /** Connections to one gate, at most; 256 unless given. */
  readonly limit?: number;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
}

/** The links to the gates of other nodes. */
export interface GateLinks {
  handle(call: Call, bodyLimit: number, peer: Peer, answer: Answer): Cancel;
  /** Closes what is free, and the rest once it is. */
  close(): Promise<void>;
}

const defaultLimit = 256;
/** Milliseconds between two looks for connections that are not needed. */
const prunePeriod = 60_000;
/**
 * Milliseconds beyond the deadline for which an entry waits: the gate decides
 * at the deadline and knows better than the entry whether the work was run.
 */
const decisionMargin = 50;

/** Creates the links; each gate's connections are opened as they are needed. */
export function createGateLinks(options: GateLinksOptions): GateLinks {
  const {timers} = options;
  const links = new Map<Address, Connections>();
  const pruning = timers.every(prunePeriod, prune);

  /** Gates come and go; without this each one seen would keep its share of memory. */
  function prune(): void {
    for (const [address, link] of links) {
      link.prune();
      if (link.size === 0) links.delete(address);
    }
  }

  function linkTo(address: Address): Connections {
    let link = links.get(address);
    if (link === undefined) {
      const limit = options.limit ?? defaultLimit;
      link = createConnections({address, limit});
      links.set(address, link);
    }
    return link;
  }

  return {
    handle: (call, bodyLimit, peer, answer) => {
      const link = linkTo(peer.announcement.gate);
      const {safeguards} = options;
      return callGate({
        call,
        bodyLimit,
        peer,
        answer,
        link,
        timers,
        safeguards,
      });
    },
    close: async () => {
      pruning.cancel();
      await Promise.all([...links.values()].map(link => link.close()));
    },
  };
}

interface GateCall {
  readonly call: Call;
  readonly bodyLimit: number;
  readonly peer: Peer;
  readonly answer: Answer;
  readonly link: Connections;
  readonly timers: Timers;
  readonly safeguards: Safeguards;
}

function callGate(options: GateCall): Cancel {
  const {call, peer, answer, timers, safeguards} = options;
  let limit: Subscription | undefined;
  let refused = false;
  let started = false;
  let ended = false;

  const receiver: Receiver = {
    began: () => {},
    // The gate tells that the work was admitted; the upload may go on.
    interim: () => answer.admit(),
    head: (status, reason, raw) => {
      const load = findHeader(raw, headerNames.load);
      if (load !== undefined) peer.loaded(Number(load));
      const code = findHeader(raw, headerNames.code);
      if (code !== undefined) {
        refused = true;
        answer.refuse(readRefusal(Number(code), raw));
        return;
      }
      started = true;
      answer.start({status, reason, headers: endToEnd(raw)});
    },
    data: chunk => {
      if (refused || answer.write(chunk)) return true;
      answer.onDrain(() => sending?.resume());
      return false;
    },
    end: () => {
      end();
      if (!refused) answer.end();
    },
    failed: (error, began) => {
      end();
      if (refused) return;
      if (started) answer.cut();
      else answer.refuse(reasonOf(error, began && safeguards.doubt));
    },
  };

  function end(): void {
    ended = true;
    limit?.cancel();
  }

  const {method, path, body} = call;
  const headers = headersOf(options);
  const sending: Sending | undefined = send(
    options.link,
    {method, path, headers, body},
    receiver,
  );
  if (sending === undefined) {
    answer.refuse(refusal(requestCodes.full, 'too many calls to one gate'));
    return () => {};
  }
  if (!ended) {
    const left = delayUntil(call.deadline + decisionMargin, timers.now());
    limit = timers.after(left, () =>
      sending.cancel(new Failure(requestCodes.deadlinePassed, 'no answer')),
    );
  }
  return () =>
    sending.cancel(new Failure(requestCodes.callerLeft, 'caller left'));
}

function headersOf(options: GateCall): string[] {
  const {call, bodyLimit, peer, timers} = options;
  const {instance, service} = peer.announcement;
  const left = Math.max(0, Math.floor(call.deadline - timers.now()));
  return [
    ...call.headers,
    ...[headerNames.request, call.id],
    ...[headerNames.timeout, String(left)],
    ...[headerNames.instance, instance],
    ...[headerNames.service, service],
    ...[headerNames.priority, call.priority],
    ...[headerNames.repeatability, call.repeatability],
    ...[headerNames.bodyLimit, String(bodyLimit)],
  ];
}

function readRefusal(number: number, raw: Buffer[]): Refusal {
  const retryAfter = Number(findHeader(raw, headerNames.retryAfter) ?? 1);
  return refusal(codeOf(number), undefined, retryAfter);
}

/** A number from a newer program than this one says nothing about the work. */
function codeOf(number: number): Code {
  const found = resultTable.find(code => code.number === number);
  return found ?? requestCodes.gateLost;
}

function reasonOf(error: Error, began: boolean): Refusal {
  if (!began) return refusal(requestCodes.gateUnreachable, error.message);
  if (error instanceof Failure && error.code.effect === 'unknown') {
    return refusal(error.code, error.message);
  }
  return refusal(requestCodes.gateLost, error.message);
}
