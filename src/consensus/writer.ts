import type {Failure} from '../result/failure.js';
import type {Entry, Message, Snapshot, Vote, Voter} from './messages.js';
import type {Storage} from './storage.js';
import {toFailure} from './storage-failure.js';

/** A write to the disk, or a message that must wait for earlier writes. */
export type WriterJob =
  | {readonly kind: 'save-vote'; readonly vote: Vote}
  | {
      readonly kind: 'append';
      readonly entries: readonly Entry[];
      readonly epoch: number;
    }
  | {readonly kind: 'cut'; readonly index: number}
  | {
      readonly kind: 'install';
      readonly snapshot: Snapshot;
      readonly epoch: number;
      readonly group: string;
      readonly founders: readonly Voter[];
    }
  | {
      readonly kind: 'save-snapshot';
      readonly snapshot: Snapshot;
      readonly keepAfter: number;
      readonly keepAfterTerm: number;
    }
  | {readonly kind: 'mark'}
  | {readonly kind: 'send'; readonly to: string; readonly message: Message};

/** Callbacks of the writer. */
export interface WriterEvents {
  onSynced(index: number, epoch: number): void;
  onSnapshotSaved(snapshot: Snapshot, keepAfter: number): void;
  onInstalled(): void;
  send(to: string, message: Message): void;
  /** Called when the disk failed; nothing more is written. */
  onFailure(failure: Failure): void;
}

/** Runs the jobs for the disk in order, one at a time. */
export interface Writer {
  /** Whether a vote is not durable yet, so that messages must wait for it. */
  readonly hasPendingVote: boolean;
  readonly isIdle: boolean;
  push(job: WriterJob): void;
  /** Waits until the queue is empty, then accepts no more jobs. */
  stop(): Promise<void>;
}

/** Options of createWriter; only tests and measurements change them. */
export interface WriterOptions {
  /** Whether waiting entries share one sync. */
  readonly groupCommit: boolean;
  /**
   * Whether a failed sync ends the writer; tests switch it off to show why it
   * must.
   */
  readonly stopOnFailure: boolean;
}

/** Creates the writer of a member's storage. */
export function createWriter(
  storage: Storage,
  events: WriterEvents,
  options: WriterOptions,
): Writer {
  let jobs: WriterJob[] = [];
  let pendingVotes = 0;
  let running: Promise<void> | undefined;
  let isStopped = false;

  /** Merges the appends at the head of the queue into one. */
  function collectAppends(
    first: WriterJob & {kind: 'append'},
  ): WriterJob & {kind: 'append'} {
    const entries = [...first.entries];
    let {epoch} = first;
    while (options.groupCommit && jobs[0]?.kind === 'append') {
      const next = jobs.shift() as WriterJob & {kind: 'append'};
      entries.push(...next.entries);
      ({epoch} = next);
    }
    return {kind: 'append', entries, epoch};
  }

  async function append(entries: readonly Entry[], epoch: number) {
    await storage.append(entries);
    await storage.sync();
    events.onSynced(entries.at(-1)!.index, epoch);
  }

  async function appendEach(entries: readonly Entry[], epoch: number) {
    for (const entry of entries) await append([entry], epoch);
  }

  async function run(job: WriterJob): Promise<void> {
    switch (job.kind) {
      case 'save-vote':
        await storage.saveVote(job.vote);
        pendingVotes--;
        return;
      case 'append': {
        const {entries, epoch} = collectAppends(job);
        if (options.groupCommit) return append(entries, epoch);
        return appendEach(entries, epoch);
      }
      case 'cut':
        return storage.cut(job.index);
      case 'install':
        await storage.install(job.snapshot, job.group, job.founders);
        events.onInstalled();
        events.onSynced(job.snapshot.index, job.epoch);
        return;
      case 'save-snapshot':
        await storage.saveSnapshot(
          job.snapshot,
          job.keepAfter,
          job.keepAfterTerm,
        );
        events.onSnapshotSaved(job.snapshot, job.keepAfter);
        return;
      case 'mark':
        return storage.mark();
      case 'send':
        events.send(job.to, job.message);
        return;
    }
  }

  /**
   * After a failed sync the kernel may have dropped the bytes and still report
   * the next sync as successful. The first failure therefore ends the writer,
   * and only a restart reads what the disk really holds.
   */
  function fail(error: unknown): void {
    isStopped = true;
    jobs = [];
    events.onFailure(toFailure(error));
  }

  async function drain(): Promise<void> {
    while (jobs.length > 0 && !isStopped) {
      const job = jobs.shift()!;
      try {
        await run(job);
      } catch (error) {
        if (options.stopOnFailure) fail(error);
        else reportSyncedAnyway(job);
      }
    }
    running = undefined;
  }

  /** Unsafe, for tests: reports a failed append as synced. */
  function reportSyncedAnyway(job: WriterJob): void {
    if (job.kind !== 'append') return;
    events.onSynced(job.entries.at(-1)!.index, job.epoch);
  }

  return {
    get hasPendingVote() {
      return pendingVotes > 0;
    },
    get isIdle() {
      return running === undefined;
    },
    push(job) {
      if (isStopped) return;
      if (job.kind === 'save-vote') pendingVotes++;
      jobs.push(job);
      running ??= Promise.resolve().then(drain);
    },
    async stop() {
      await running;
      isStopped = true;
    },
  };
}
