/**
 * The way out of a VM for the answers that its process sends. Large ones leave
 * one after the other at the pace of a share of the link; very large ones let
 * the others go first from time to time. Written as they come, they would wait
 * in the sockets, and small answers, marks and heartbeats behind them.
 */
import {Answer, answerTurn, largeAnswer} from '../messages/answer.js';
import type {AnswerHead, Refusal} from '../messages/call.js';
import type {Subscription, Timers} from '../../time/timers.js';
import {createTokenBucket} from './pacing.js';
import type {TokenBucket} from './pacing.js';
import {createRateAverage} from './rate-average.js';
import type {RateAverage} from './rate-average.js';

/** An answer on its way through an egress queue. */
export abstract class QueuedAnswer extends Answer {
  /** Its receiver has gone; what waits of it is let go. */
  abstract drop(): void;
}

/** The way out for the answers of one process. */
export interface EgressQueue {
  /** Bytes of large answers that wait for the link. */
  readonly waiting: number;
  /** Bytes a second that small answers take of late. */
  readonly taken: number;
  /** The way through it to `answer`. */
  to(answer: Answer): QueuedAnswer;
}

/** Options of `createEgressQueue`. */
export interface EgressQueueOptions {
  /** Bytes a second that answers may take. */
  readonly rate: number;
  readonly timers: Timers;
}

/** Milliseconds' worth of large answers that a small one may wait behind. */
const burst = 10;

/** Bytes of a large answer that leave at once. */
const partSize = 8 * 1024;

/** Bytes that each answer may have waiting, however many others wait. */
const perAnswerLimit = 64 * 1024;

/**
 * Bytes that all answers may have waiting together. Up to there the upstream is
 * not held up, so its slots are free for work whose answers are small.
 */
const readAhead = 1024 * 1024;

/** The part of an egress queue that its answers share. */
interface SharedQueue {
  readonly bucket: TokenBucket;
  readonly smallAnswerRate: RateAverage;
  /** Large answers under way, the one whose turn it is first. */
  readonly answers: Set<EgressAnswer>;
  /** Bytes that wait, for the link or for their receivers. */
  held: number;
  /** Sends what may leave now. */
  pump(): void;
}

/** Creates an egress queue. */
export function createEgressQueue({
  rate,
  timers,
}: EgressQueueOptions): EgressQueue {
  let next: Subscription | undefined;
  let isPumping = false;
  const queue: SharedQueue = {
    bucket: createTokenBucket(rate, timers, burst),
    smallAnswerRate: createRateAverage(timers),
    answers: new Set(),
    held: 0,
    pump,
  };

  function pump(): void {
    if (isPumping || next !== undefined) return;
    isPumping = true;
    sendReady();
    isPumping = false;
  }

  function sendReady(): void {
    for (;;) {
      const ready = findReady();
      if (ready === undefined) return;
      const wait = queue.bucket.wait();
      if (wait > 0) {
        next = timers.after(wait, () => {
          next = undefined;
          pump();
        });
        return;
      }
      ready.sendPart();
      for (const answer of queue.answers) answer.resumeSender();
    }
  }

  function findReady(): EgressAnswer | undefined {
    for (const answer of queue.answers) {
      if (answer.isReady) return answer;
    }
    return undefined;
  }

  return {
    get waiting() {
      let bytes = 0;
      for (const answer of queue.answers) bytes += answer.waiting;
      return bytes;
    },
    get taken() {
      return queue.smallAnswerRate.rate();
    },
    to: answer => new EgressAnswer(answer, queue),
  };
}

/** An answer that takes its turn once it has grown large. */
class EgressAnswer extends QueuedAnswer {
  /** Bytes that passed at once. */
  private unqueuedBytes = 0;
  private isLarge = false;
  private readonly parts: Buffer[] = [];
  private held = 0;
  /** Bytes that left in this turn. */
  private sent = 0;
  /** Whether its receiver takes no more now. */
  private isBlocked = false;
  private isWhole = false;
  private isOver = false;
  private resume: (() => void) | undefined;

  constructor(
    private readonly answer: Answer,
    private readonly queue: SharedQueue,
  ) {
    super();
  }

  get isReady(): boolean {
    return this.held > 0 && !this.isBlocked;
  }

  /** Bytes that wait for the link, not for the receiver. */
  get waiting(): number {
    return this.isBlocked ? 0 : this.held;
  }

  admit(): void {
    this.answer.admit();
  }

  start(head: AnswerHead): void {
    this.answer.start(head);
  }

  write(chunk: Buffer): boolean {
    if (this.isOver) return true;
    if (!this.isLarge && this.unqueuedBytes + chunk.length < largeAnswer) {
      this.unqueuedBytes += chunk.length;
      this.queue.bucket.consume(chunk.length);
      this.queue.smallAnswerRate.add(chunk.length);
      return this.answer.write(chunk);
    }
    if (!this.isLarge) this.markLarge();
    this.queue.answers.add(this);
    this.parts.push(chunk);
    this.held += chunk.length;
    this.queue.held += chunk.length;
    this.queue.pump();
    return this.hasRoom();
  }

  onDrain(resume: () => void): void {
    if (this.isLarge) this.resume = resume;
    else this.answer.onDrain(resume);
  }

  end(): void {
    this.isWhole = true;
    if (!this.isOver && this.held === 0) this.finish();
  }

  refuse(refusal: Refusal): void {
    this.releaseParts();
    this.answer.refuse(refusal);
  }

  cut(): void {
    this.releaseParts();
    this.answer.cut();
  }

  drop(): void {
    const {resume} = this;
    this.releaseParts();
    // Work that goes on without its caller must not wait for it either.
    resume?.();
  }

  /** Sends the next part of it. */
  sendPart(): void {
    const part = this.takePart();
    this.held -= part.length;
    this.queue.held -= part.length;
    this.queue.bucket.consume(part.length);
    if (!this.answer.write(part)) this.block();
    this.sent += part.length;
    if (this.held === 0 && this.isWhole) this.finish();
    else if (this.sent >= answerTurn) this.endTurn();
  }

  /** Has its sender go on once there is room for more. */
  resumeSender(): void {
    const {resume} = this;
    if (resume === undefined || !this.hasRoom()) return;
    this.resume = undefined;
    resume();
  }

  /** It is no small answer after all. */
  private markLarge(): void {
    this.isLarge = true;
    this.queue.smallAnswerRate.add(-this.unqueuedBytes);
  }

  private hasRoom(): boolean {
    return this.queue.held < readAhead || this.held < perAnswerLimit;
  }

  private takePart(): Buffer {
    const first = this.parts[0]!;
    if (first.length <= partSize) return this.parts.shift()!;
    this.parts[0] = first.subarray(partSize);
    return first.subarray(0, partSize);
  }

  /** Goes behind the others; an answer without an end would keep them waiting. */
  private endTurn(): void {
    this.sent = 0;
    this.queue.answers.delete(this);
    this.queue.answers.add(this);
  }

  private block(): void {
    this.isBlocked = true;
    this.answer.onDrain(() => {
      this.isBlocked = false;
      this.queue.pump();
    });
  }

  private releaseParts(): void {
    this.isOver = true;
    this.queue.held -= this.held;
    this.held = 0;
    this.parts.length = 0;
    this.resume = undefined;
    this.queue.answers.delete(this);
  }

  private finish(): void {
    this.releaseParts();
    this.answer.end();
  }
}
