/**
 * Request bodies. A small body is gathered before anything is sent on, so that
 * a caller that stalls in it gets a true `not-run` and the body can be sent
 * again. A larger one streams; only its first part can be sent again.
 */
import type {IncomingMessage} from 'node:http';
import type {Code} from '../result/code.js';
import {Failure} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {requestCodes} from './codes.js';
import {delayUntil} from './deadline.js';
import {allSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';

/** Bodies up to this many bytes are gathered before they are sent on. */
export const gatherLimit = 64 * 1024;

/** A body that streams from its sender. */
export interface StreamUpload {
  readonly kind: 'stream';
  /** Bytes announced, where they were. */
  readonly length: number | undefined;
  /** Whether an attempt took more than the first part; then it can't be resent. */
  consumed(): boolean;
  /** Lets the parts after the first through; called once work is admitted. */
  release(): void;
  /** The parts; each call starts again from the first part. */
  parts(): AsyncIterable<Buffer>;
}

/** The body of a request. */
export type Upload =
  | {readonly kind: 'none'}
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | StreamUpload;

/** How a body is received. */
export interface UploadOptions {
  /** Most bytes taken. */
  readonly limit: number;
  /** Longest pause between two parts, in milliseconds. */
  readonly idle: number;
  readonly timers: Timers;
  /** When its time is up, by the timer service. */
  readonly deadline?: number;
  /** Test only. */
  readonly safeguards?: Pick<Safeguards, 'heldUploads'>;
}

/**
 * Receives the body of a message. Rejects with a `Failure` when a small body
 * stalls, is cut or is too large.
 */
export async function receiveUpload(
  message: IncomingMessage,
  options: UploadOptions,
): Promise<Upload> {
  const length = announcedLength(message);
  if (length === 0) return {kind: 'none'};
  if (length !== undefined && length > options.limit) {
    throw fail(requestCodes.bodyTooLarge, `${length} bytes`);
  }
  if (length !== undefined && length <= gatherLimit) {
    return {kind: 'whole', bytes: await gather(message, length, options)};
  }
  return createStreamUpload(message, length, options);
}

/** Whether a message has a body at all, judged by its headers. */
export function hasBody(message: IncomingMessage): boolean {
  return announcedLength(message) !== 0;
}

function announcedLength(message: IncomingMessage): number | undefined {
  if (message.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(message.headers['content-length'] ?? 0);
}

function gather(
  message: IncomingMessage,
  length: number,
  options: UploadOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let received = 0;
    const watch = createWatch(options, () =>
      finish(fail(requestCodes.bodySlow, `no bytes for ${options.idle} ms`)),
    );
    const left = delayUntil(options.deadline ?? Infinity, options.timers.now());
    const limit = options.timers.after(left, () =>
      finish(fail(requestCodes.bodySlow, 'its time ran out')),
    );
    const onData = (part: Buffer) => {
      parts.push(part);
      received += part.length;
      watch.touch();
    };
    const onEnd = () => {
      if (received === length) finish(undefined);
      else onCut();
    };
    const onCut = () =>
      finish(fail(requestCodes.badRequest, 'the body was cut'));
    function finish(error: Failure | undefined): void {
      watch.stop();
      limit.cancel();
      message.off('data', onData).off('end', onEnd).off('close', onCut);
      if (error !== undefined) reject(error);
      else resolve(parts.length === 1 ? parts[0]! : Buffer.concat(parts));
    }
    message.on('data', onData).on('end', onEnd).on('close', onCut);
    message.on('error', onCut);
  });
}

function createStreamUpload(
  message: IncomingMessage,
  length: number | undefined,
  options: UploadOptions,
): StreamUpload {
  const {heldUploads} = options.safeguards ?? allSafeguards;
  const source = message.iterator({destroyOnReturn: false});
  let first: Buffer | undefined;
  let received = 0;
  let pastFirst = false;
  let attempts = 0;
  let release = () => {};
  const released = new Promise<void>(resolve => (release = resolve));

  async function next(): Promise<Buffer | undefined> {
    const result = await withinIdle(source.next(), message, options);
    if (result.done === true) return undefined;
    const part = result.value as Buffer;
    received += part.length;
    if (received > options.limit) {
      throw fail(requestCodes.bodyOverran, `over ${options.limit} bytes`);
    }
    return part;
  }

  async function* parts(): AsyncGenerator<Buffer> {
    const attempt = ++attempts;
    first ??= await next();
    if (first === undefined) return;
    yield first;
    if (heldUploads) await released;
    // An attempt that was refused still waits here; going on, it would take
    // parts away from the attempt that was admitted.
    if (attempt !== attempts) throw fail(requestCodes.callerLeft, 'refused');
    pastFirst = true;
    for (let part = await next(); part; part = await next()) yield part;
  }

  return {
    kind: 'stream',
    length,
    consumed: () => pastFirst,
    release: () => release(),
    parts,
  };
}

async function withinIdle<T>(
  work: Promise<T>,
  message: IncomingMessage,
  options: UploadOptions,
): Promise<T> {
  let watch: Subscription | undefined;
  const idle = new Promise<never>((_resolve, reject) => {
    watch = options.timers.after(options.idle, () => {
      reject(fail(requestCodes.bodyStalled, `no bytes for ${options.idle} ms`));
    });
  });
  try {
    return await Promise.race([work, idle]);
  } catch (error) {
    if (error instanceof Failure) throw error;
    throw fail(requestCodes.badRequest, 'the body was cut', error as Error);
  } finally {
    watch?.cancel();
  }
}

function createWatch(options: UploadOptions, expire: () => void) {
  let subscription = options.timers.after(options.idle, expire);
  return {
    touch: () => {
      subscription.cancel();
      subscription = options.timers.after(options.idle, expire);
    },
    stop: () => subscription.cancel(),
  };
}

function fail(code: Code, message: string, cause?: Error): Failure {
  return new Failure(code, message, cause);
}
