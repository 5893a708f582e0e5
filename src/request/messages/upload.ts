/** Request bodies, as passed between the modules of the request path. */

/** Bodies up to this many bytes are buffered before they are forwarded. */
export const bufferLimit = 64 * 1024;

/**
 * Bodies of more bytes are sent to another node only after it has admitted the
 * call. Sent with the call, those of refused calls would fill the link into the
 * node's VM, and delay all other messages on it.
 */
const unheldLimit = 8 * 1024;

/** The part of a streamed body that has been received. */
export interface ReceivedBody {
  /** The first bytes, at most `bufferLimit`. */
  readonly bytes: Buffer;
  /** Whether this is the whole body and its end was read. */
  readonly isWhole: boolean;
}

/** A body that is streamed from its sender. */
export interface StreamUpload {
  readonly kind: 'stream';
  /** Length in bytes, if the sender announced it. */
  readonly length: number | undefined;
  /** Whether it is read at the limited rate of the VM's network link. */
  readonly isPaced: boolean;
  /**
   * Whether an attempt has read past the first chunk; then it can't be resent.
   */
  consumed(): boolean;
  /** Releases the chunks after the first; called when the call is admitted. */
  release(): void;
  /** The chunks of the body; each call starts again from the first chunk. */
  parts(): AsyncIterable<Buffer>;
  /**
   * Resets the body after a refused attempt, before the next one. Called
   * immediately: the refused attempt may have been admitted at the same moment,
   * and could consume a chunk before the next attempt's connection is open.
   */
  rewind(): void;
  /**
   * Calls `observe` once when reading stops: with true after the last chunk,
   * and with false if the body is abandoned.
   */
  onEnd(observe: (isWhole: boolean) => void): void;
  /**
   * Buffers the first `bufferLimit` bytes, or the whole body if it is shorter,
   * before any attempt reads it. Rejects with a `Failure` if they don't arrive.
   */
  bufferFirst(): Promise<void>;
  /** The first bytes that have been received so far. */
  received(): ReceivedBody;
  /** The call has ended, regardless of how much of the body was read. */
  close(): void;
  /** Reads and drops the rest, for a sender that continues after its answer. */
  discard(): void;
}

/** A body that was received completely. */
export interface WholeUpload {
  readonly kind: 'whole';
  readonly bytes: Buffer;
  /** See `StreamUpload.isPaced`; unknown if absent. */
  readonly isPaced?: boolean;
}

/** The body of a request. */
export type Upload = {readonly kind: 'none'} | WholeUpload | StreamUpload;

/** Whether a body takes much of the link that it crosses. */
export function isLargeBody(body: Upload): boolean {
  if (body.kind === 'whole') return body.bytes.length > unheldLimit;
  return body.kind === 'stream';
}

/** Whether a body was received without crossing the link of the VM. */
export function isFromOwnVm(body: Upload): boolean {
  return body.kind !== 'none' && body.isPaced === false;
}
