/** The claims of one service as one keeper holds them; no network, no epochs. */
import type {Timers} from '../time/timers.js';
import type {Header, StoredAnswer} from './claims.js';
import type {
  Acquire,
  ClaimRecord,
  Notice,
  SettledRecord,
  Settle,
  Vote,
} from './messages.js';

/** Bounds of a table. */
export interface ClaimLimits {
  /** Milliseconds that a claim is kept after it was made or settled. */
  readonly retention: number;
  /** Claims held at most; further ones are refused, none is dropped early. */
  readonly claims: number;
  /** Gates that may wait for the outcome of one claim. */
  readonly watchers: number;
}

/** Called once when the claim that was found is settled or expired. */
export type Watcher = (notice: Notice) => void;

/** The claims of one service. */
export interface ClaimTable {
  /** Votes on a claim; `watcher` is kept when another claim has the key. */
  vote(acquire: Acquire, watcher?: Watcher): Vote;
  settle(settle: Settle): void;
  /** All claims, for another keeper; made one by one as they are taken. */
  records(): Iterable<ClaimRecord>;
  /** Adds another keeper's claims to these; `sort` must follow. */
  merge(records: readonly ClaimRecord[]): void;
  /** Puts claims in order of age again after a merge. */
  sort(): void;
  /** Drops what is past its retention; tells watchers of expired claims. */
  sweep(): void;
  readonly size: number;
}

interface Holder {
  readonly claim: string;
  readonly fingerprint: string;
  readonly expires: number;
}

/**
 * An answer as it is kept. Its body is a string of one byte a character: the
 * bytes that came are a view of the socket's whole chunk, which they would hold
 * in memory, and a buffer of its own costs more than a small body.
 */
interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: string;
}

interface Settled {
  readonly kind: 'answered' | 'abandoned';
  readonly fingerprint: string;
  readonly answer?: KeptAnswer;
}

const noHolders: readonly Holder[] = [];

interface Entry {
  holders: readonly Holder[];
  settled?: Settled;
  touched: number;
  watchers?: Watcher[];
}

/** Creates an empty table. */
export function createClaimTable(
  timers: Timers,
  limits: ClaimLimits,
): ClaimTable {
  const entries = new Map<string, Entry>();
  const released = new Map<string, number>();
  const watched = new Set<Entry>();

  /** Moves an entry to the end, so that entries stand in order of age. */
  function touch(key: string, entry: Entry, touched = timers.now()): void {
    entry.touched = touched;
    entries.delete(key);
    entries.set(key, entry);
  }

  function notify(entry: Entry, notice: Notice): void {
    const watchers = entry.watchers ?? [];
    entry.watchers = undefined;
    watched.delete(entry);
    for (const watcher of watchers) watcher(notice);
  }

  function watch(entry: Entry, watcher: Watcher | undefined): void {
    if (watcher === undefined) return;
    entry.watchers ??= [];
    watched.add(entry);
    if (entry.watchers.length < limits.watchers) entry.watchers.push(watcher);
  }

  function voteHeld(entry: Entry, watcher: Watcher | undefined): Vote {
    const now = timers.now();
    if (entry.holders.every(holder => holder.expires <= now)) {
      return {kind: 'expired'};
    }
    watch(entry, watcher);
    return {kind: 'held'};
  }

  function voteFound(
    entry: Entry,
    acquire: Acquire,
    watcher: Watcher | undefined,
  ): Vote {
    const {settled, holders} = entry;
    if (settled !== undefined) {
      if (settled.fingerprint !== acquire.fingerprint) {
        return {kind: 'key-reused'};
      }
      return toVote(settled);
    }
    const others = holders.filter(holder => holder.claim !== acquire.claim);
    if (others.length === 0) return {kind: 'granted'};
    if (others.some(other => other.fingerprint !== acquire.fingerprint)) {
      return {kind: 'key-reused'};
    }
    return voteHeld(entry, watcher);
  }

  function vote(acquire: Acquire, watcher?: Watcher): Vote {
    if (released.has(acquire.claim)) return {kind: 'stale'};
    const found = entries.get(acquire.key);
    if (found !== undefined) return voteFound(found, acquire, watcher);
    if (entries.size >= limits.claims) return {kind: 'full'};
    const holder = {
      claim: acquire.claim,
      fingerprint: acquire.fingerprint,
      expires: timers.now() + acquire.lease,
    };
    entries.set(acquire.key, {holders: [holder], touched: timers.now()});
    return {kind: 'granted'};
  }

  function release(key: string, claim: string): void {
    // An acquire may arrive after the release of its claim, over an older
    // link. It would block the key for nobody until its lease ends.
    released.set(claim, timers.now());
    const entry = entries.get(key);
    if (entry === undefined || entry.settled !== undefined) return;
    const rest = entry.holders.filter(holder => holder.claim !== claim);
    if (rest.length === entry.holders.length) return;
    entry.holders = rest;
    if (rest.length === 0) entries.delete(key);
    notify(entry, {kind: 'notice', settlement: {kind: 'released'}});
  }

  function settle({key, fingerprint, claim, settlement}: Settle): void {
    if (settlement.kind === 'released') return release(key, claim);
    const entry = entries.get(key) ?? {holders: noHolders, touched: 0};
    const isFinal = entry.settled?.kind === 'answered';
    if (!isFinal) entry.settled = keep({...settlement, fingerprint});
    entry.holders = noHolders;
    touch(key, entry);
    notify(entry, {kind: 'notice', settlement});
  }

  function toRecord(key: string, entry: Entry): ClaimRecord {
    const now = timers.now();
    return {
      key,
      holders: entry.holders.map(holder => ({
        claim: holder.claim,
        fingerprint: holder.fingerprint,
        lease: Math.max(0, holder.expires - now),
      })),
      settled: entry.settled && giveBack(entry.settled),
      age: now - entry.touched,
    };
  }

  function mergeOne(record: ClaimRecord): void {
    const entry = entries.get(record.key) ?? {holders: noHolders, touched: 0};
    const now = timers.now();
    const fresh = record.holders.filter(
      ({claim}) =>
        !released.has(claim) &&
        !entry.holders.some(holder => holder.claim === claim),
    );
    entry.holders = [
      ...entry.holders,
      ...fresh.map(({claim, fingerprint, lease}) => ({
        claim,
        fingerprint,
        expires: now + lease,
      })),
    ];
    if (entry.settled?.kind !== 'answered' && record.settled !== undefined) {
      entry.settled = keep(record.settled);
    }
    if (entry.settled !== undefined) entry.holders = noHolders;
    if (entry.holders.length === 0 && entry.settled === undefined) return;
    entry.touched = Math.max(entry.touched, now - record.age);
    entries.set(record.key, entry);
  }

  function sort(): void {
    const sorted = [...entries].sort(
      ([, left], [, right]) => left.touched - right.touched,
    );
    entries.clear();
    for (const [key, entry] of sorted) entries.set(key, entry);
  }

  function sweepExpired(entry: Entry): void {
    const now = timers.now();
    if (entry.holders.some(holder => holder.expires > now)) return;
    notify(entry, {kind: 'notice', settlement: {kind: 'expired'}});
  }

  return {
    vote,
    settle,
    *records() {
      for (const [key, entry] of entries) yield toRecord(key, entry);
    },
    merge(records) {
      for (const record of records) mergeOne(record);
    },
    sort,
    sweep() {
      const oldest = timers.now() - limits.retention;
      for (const [claim, at] of released) {
        if (at > oldest) break;
        released.delete(claim);
      }
      for (const [key, entry] of entries) {
        if (entry.touched > oldest) break;
        entries.delete(key);
        notify(entry, {kind: 'notice', settlement: {kind: 'expired'}});
      }
      for (const entry of watched) sweepExpired(entry);
    },
    get size() {
      return entries.size;
    },
  };
}

function keep({kind, fingerprint, answer}: SettledRecord): Settled {
  if (answer === undefined) return {kind, fingerprint};
  const {status, headers, body} = answer;
  const view = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  const kept = {status, headers, body: view.toString('latin1')};
  return {kind, fingerprint, answer: kept};
}

function giveBack({kind, fingerprint, answer}: Settled): SettledRecord {
  return {kind, fingerprint, answer: answer && toAnswer(answer)};
}

function toVote({kind, answer}: Settled): Vote {
  return {kind, answer: answer && toAnswer(answer)};
}

function toAnswer({status, headers, body}: KeptAnswer): StoredAnswer {
  return {status, headers, body: Buffer.from(body, 'latin1')};
}
