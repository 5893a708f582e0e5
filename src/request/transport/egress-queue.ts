/**
 * Queues the answers that a process sends over its VM's outgoing link. Small
 * answers are written at once. Large answers are written one after the other at
 * a share of the link's rate, and very large ones in turns. Written without a
 * limit, they would fill the link's buffers and delay small answers, freshness
 * marks and heartbeats.
 */
import {
  Answer,
  answerQuantum,
  largeAnswerThreshold,
} from '../messages/answer.js';
import type {AnswerHead, Refusal} from '../messages/call.js';
import type {Subscription, Timers} from '../../time/timers.js';
import {createTokenBucket} from './pacing.js';
import type {TokenBucket} from './pacing.js';
import {createRateAverage} from './rate-average.js';
import type {RateAverage} from './rate-average.js';

/** An answer that is sent through an egress queue. */
export abstract class QueuedAnswer extends Answer {
  /** Discards the bytes that wait, as their receiver has disconnected. */
  abstract drop(): void;
}

/** Queues the answers of one process. */
export interface EgressQueue {
  /** Bytes of large answers that wait for the link. */
  readonly waiting: number;
  /** Recent rate of small answers in bytes per second. */
  readonly taken: number;
  /** Creates an answer that is written to `answer` through the queue. */
  to(answer: Answer): QueuedAnswer;
}

/** Options of `createEgressQueue`. */
export interface EgressQueueOptions {
  /** Maximum rate of answers in bytes per second. */
  readonly rate: number;
  readonly timers: Timers;
}

/**
 * Size of a burst of large answers, in milliseconds at the limited rate. A
 * small answer may be delayed by this time.
 */
const burst = 10;

/** Bytes of a large answer that are written in one step. */
const partSize = 8 * 1024;

/** Bytes that each answer may buffer, however much the others buffer. */
const perAnswerLimit = 64 * 1024;

/**
 * Bytes that all answers together may buffer before upstreams are paused. Until
 * then upstreams finish early and free their slots for requests with small
 * answers.
 */
const readAhead = 1024 * 1024;

/** The state of an egress queue that its answers share. */
interface SharedQueue {
  readonly bucket: TokenBucket;
  readonly smallAnswerRate: RateAverage;
  /** Large answers in progress, in the order of their turns. */
  readonly answers: Set<EgressAnswer>;
  /** Buffered bytes that wait for the link or for their receivers. */
  held: number;
  /** Sends the parts that the rate allows now. */
  pump(): void;
}

/** Creates an egress queue. */
export function createEgressQueue({
  rate,
  timers,
}: EgressQueueOptions): EgressQueue {
  let pumpTimer: Subscription | undefined;
  let isPumping = false;
  const queue: SharedQueue = {
    bucket: createTokenBucket(rate, timers, burst),
    smallAnswerRate: createRateAverage(timers),
    answers: new Set(),
    held: 0,
    pump,
  };

  function pump(): void {
    if (isPumping || pumpTimer !== undefined) return;
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
        pumpTimer = timers.after(wait, () => {
          pumpTimer = undefined;
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

/** An answer that is queued once it has become large. */
class EgressAnswer extends QueuedAnswer {
  /** Bytes that were written without queueing. */
  private unqueuedBytes = 0;
  private isLarge = false;
  private readonly parts: Buffer[] = [];
  private held = 0;
  /** Bytes that were sent in this turn. */
  private sent = 0;
  /** Whether the receiver applies back-pressure. */
  private isBlocked = false;
  private isComplete = false;
  private hasEnded = false;
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

  /** Buffered bytes that wait for the link and not for the receiver. */
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
    if (this.hasEnded) return true;
    if (
      !this.isLarge &&
      this.unqueuedBytes + chunk.length < largeAnswerThreshold
    ) {
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
    this.isComplete = true;
    if (!this.hasEnded && this.held === 0) this.finish();
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
    // A request that continues after its caller has left must not stay paused.
    resume?.();
  }

  /** Sends the next part. */
  sendPart(): void {
    const part = this.removePart();
    this.held -= part.length;
    this.queue.held -= part.length;
    this.queue.bucket.consume(part.length);
    if (!this.answer.write(part)) this.block();
    this.sent += part.length;
    if (this.held === 0 && this.isComplete) this.finish();
    else if (this.sent >= answerQuantum) this.endTurn();
  }

  /** Resumes the sender if there is room for more. */
  resumeSender(): void {
    const {resume} = this;
    if (resume === undefined || !this.hasRoom()) return;
    this.resume = undefined;
    resume();
  }

  /** Queues the answer from now on and no longer counts it as a small one. */
  private markLarge(): void {
    this.isLarge = true;
    this.queue.smallAnswerRate.add(-this.unqueuedBytes);
  }

  private hasRoom(): boolean {
    return this.queue.held < readAhead || this.held < perAnswerLimit;
  }

  private removePart(): Buffer {
    const first = this.parts[0]!;
    if (first.length <= partSize) return this.parts.shift()!;
    this.parts[0] = first.subarray(partSize);
    return first.subarray(0, partSize);
  }

  /**
   * Moves to the end of the queue, so that an endless answer blocks no other.
   */
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
    this.hasEnded = true;
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
