/**
 * The claims of one service in the memory of one keeper. The table knows
 * neither the network nor epochs.
 */
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

/** Limits of a table. */
export interface ClaimLimits {
  /**
   * Time that a claim is kept after it was made or settled, in milliseconds.
   */
  readonly retention: number;
  /** Maximum number of claims. Further claims are refused; none is evicted. */
  readonly claims: number;
  /** Maximum number of gates that wait for the outcome of one claim. */
  readonly watchers: number;
}

/** Called once, when the claim that holds the key is settled or expires. */
export type Watcher = (notice: Notice) => void;

/** The claims of one service. */
export interface ClaimTable {
  /**
   * Votes on a claim; `watcher` is registered when another claim holds the key.
   */
  vote(acquire: Acquire, watcher?: Watcher): Vote;
  settle(settle: Settle): void;
  /** All claims, to be copied to another keeper; generated lazily. */
  records(): Iterable<ClaimRecord>;
  /** Adds claims of another keeper; call `sort` afterwards. */
  merge(records: readonly ClaimRecord[]): void;
  /** Restores the order by age after merges. */
  sort(): void;
  /**
   * Removes claims past their retention and notifies watchers of expired ones.
   */
  sweep(): void;
  readonly size: number;
}

interface Holder {
  readonly claim: string;
  readonly fingerprint: string;
  readonly expires: number;
}

/**
 * An answer in memory. Its body is a string with one character per byte: the
 * received bytes are a view of the socket's whole chunk and would keep all of
 * it in memory, and a separate buffer costs more memory than a small body.
 */
interface CompactAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: string;
}

interface Settled {
  readonly kind: 'answered' | 'abandoned';
  readonly fingerprint: string;
  readonly answer?: CompactAnswer;
}

const noHolders: readonly Holder[] = [];

interface ClaimEntry {
  holders: readonly Holder[];
  settled?: Settled;
  lastChanged: number;
  watchers?: Watcher[];
}

/** Creates an empty table. */
export function createClaimTable(
  timers: Timers,
  limits: ClaimLimits,
): ClaimTable {
  const entries = new Map<string, ClaimEntry>();
  const releasedClaims = new Map<string, number>();
  const watchedEntries = new Set<ClaimEntry>();

  /** Moves an entry to the end, so that entries stay ordered by age. */
  function refresh(
    key: string,
    entry: ClaimEntry,
    lastChanged = timers.now(),
  ): void {
    entry.lastChanged = lastChanged;
    entries.delete(key);
    entries.set(key, entry);
  }

  function notify(entry: ClaimEntry, notice: Notice): void {
    const watchers = entry.watchers ?? [];
    entry.watchers = undefined;
    watchedEntries.delete(entry);
    for (const watcher of watchers) watcher(notice);
  }

  function watch(entry: ClaimEntry, watcher: Watcher | undefined): void {
    if (watcher === undefined) return;
    entry.watchers ??= [];
    watchedEntries.add(entry);
    if (entry.watchers.length < limits.watchers) entry.watchers.push(watcher);
  }

  function voteHeld(entry: ClaimEntry, watcher: Watcher | undefined): Vote {
    const now = timers.now();
    if (entry.holders.every(holder => holder.expires <= now)) {
      return {kind: 'expired'};
    }
    watch(entry, watcher);
    return {kind: 'held'};
  }

  function voteFound(
    entry: ClaimEntry,
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
    if (releasedClaims.has(acquire.claim)) return {kind: 'stale'};
    const found = entries.get(acquire.key);
    if (found !== undefined) return voteFound(found, acquire, watcher);
    if (entries.size >= limits.claims) return {kind: 'full'};
    const holder = {
      claim: acquire.claim,
      fingerprint: acquire.fingerprint,
      expires: timers.now() + acquire.lease,
    };
    entries.set(acquire.key, {holders: [holder], lastChanged: timers.now()});
    return {kind: 'granted'};
  }

  function release(key: string, claim: string): void {
    // An acquire message can arrive after the release of its claim, over an
    // older link. If it were granted, it would block the key until its lease
    // ends although no gate uses the claim.
    releasedClaims.set(claim, timers.now());
    const entry = entries.get(key);
    if (entry === undefined || entry.settled !== undefined) return;
    const remaining = entry.holders.filter(holder => holder.claim !== claim);
    if (remaining.length === entry.holders.length) return;
    entry.holders = remaining;
    if (remaining.length === 0) entries.delete(key);
    notify(entry, {kind: 'notice', settlement: {kind: 'released'}});
  }

  function settle({key, fingerprint, claim, settlement}: Settle): void {
    if (settlement.kind === 'released') return release(key, claim);
    const entry = entries.get(key) ?? {holders: noHolders, lastChanged: 0};
    const hasAnswer = entry.settled?.kind === 'answered';
    if (!hasAnswer) entry.settled = toSettled({...settlement, fingerprint});
    entry.holders = noHolders;
    refresh(key, entry);
    notify(entry, {kind: 'notice', settlement});
  }

  function toRecord(key: string, entry: ClaimEntry): ClaimRecord {
    const now = timers.now();
    return {
      key,
      holders: entry.holders.map(holder => ({
        claim: holder.claim,
        fingerprint: holder.fingerprint,
        lease: Math.max(0, holder.expires - now),
      })),
      settled: entry.settled && toSettledRecord(entry.settled),
      age: now - entry.lastChanged,
    };
  }

  function mergeRecord(record: ClaimRecord): void {
    const entry = entries.get(record.key) ?? {
      holders: noHolders,
      lastChanged: 0,
    };
    const now = timers.now();
    const added = record.holders.filter(
      ({claim}) =>
        !releasedClaims.has(claim) &&
        !entry.holders.some(holder => holder.claim === claim),
    );
    entry.holders = [
      ...entry.holders,
      ...added.map(({claim, fingerprint, lease}) => ({
        claim,
        fingerprint,
        expires: now + lease,
      })),
    ];
    if (entry.settled?.kind !== 'answered' && record.settled !== undefined) {
      entry.settled = toSettled(record.settled);
    }
    if (entry.settled !== undefined) entry.holders = noHolders;
    if (entry.holders.length === 0 && entry.settled === undefined) return;
    entry.lastChanged = Math.max(entry.lastChanged, now - record.age);
    entries.set(record.key, entry);
  }

  function sort(): void {
    const sorted = [...entries].sort(
      ([, left], [, right]) => left.lastChanged - right.lastChanged,
    );
    entries.clear();
    for (const [key, entry] of sorted) entries.set(key, entry);
  }

  function sweepExpired(entry: ClaimEntry): void {
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
      for (const record of records) mergeRecord(record);
    },
    sort,
    sweep() {
      const oldest = timers.now() - limits.retention;
      for (const [claim, time] of releasedClaims) {
        if (time > oldest) break;
        releasedClaims.delete(claim);
      }
      for (const [key, entry] of entries) {
        if (entry.lastChanged > oldest) break;
        entries.delete(key);
        notify(entry, {kind: 'notice', settlement: {kind: 'expired'}});
      }
      for (const entry of watchedEntries) sweepExpired(entry);
    },
    get size() {
      return entries.size;
    },
  };
}

function toSettled({kind, fingerprint, answer}: SettledRecord): Settled {
  if (answer === undefined) return {kind, fingerprint};
  const {status, headers, body} = answer;
  const view = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  const compact = {status, headers, body: view.toString('latin1')};
  return {kind, fingerprint, answer: compact};
}

function toSettledRecord({kind, fingerprint, answer}: Settled): SettledRecord {
  return {kind, fingerprint, answer: answer && toAnswer(answer)};
}

function toVote({kind, answer}: Settled): Vote {
  return {kind, answer: answer && toAnswer(answer)};
}

function toAnswer({status, headers, body}: CompactAnswer): StoredAnswer {
  return {status, headers, body: Buffer.from(body, 'latin1')};
}
