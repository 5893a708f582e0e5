/** The body of a request, as it is handed from part to part. */

/** Bodies up to this many bytes are gathered before they are sent on. */
export const bufferLimit = 64 * 1024;

/** What has arrived of a streamed body. */
export interface ReceivedBody {
  /** Its first bytes, `gatherLimit` at most. */
  readonly bytes: Buffer;
  /** Whether these are all, and its end was read. */
  readonly isWhole: boolean;
}

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
  /**
   * The attempt that reads the parts was refused, and another follows. Called at
   * once: the refused one may have been let through in the same moment, and would
   * take a part away before the next attempt's connection is open.
   */
  rewind(): void;
  /**
   * Calls `observe` once when nothing more of it is read: with true when its last
   * part was, with false when it is given up.
   */
  onEnd(observe: (isWhole: boolean) => void): void;
  /**
   * Gathers the first bytes before any attempt reads them, `gatherLimit` or
   * all; rejects with a `Failure` when they don't come.
   */
  bufferFirst(): Promise<void>;
  /** What was read of its first bytes so far. */
  received(): ReceivedBody;
  /** Its work has ended, whatever was read of it. */
  close(): void;
  /** Reads on and forgets what comes; for a sender that writes on after its answer. */
  discard(): void;
}

/** The body of a request. */
export type Upload =
  | {readonly kind: 'none'}
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | StreamUpload;
