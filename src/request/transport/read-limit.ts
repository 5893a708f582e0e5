/**
 * Limits what is read from an upstream's connection beside the body of the
 * answer that a request waits for. An upstream in trouble may send bytes
 * without end, and each costs processor time.
 */

/**
 * Maximum size in bytes of what surrounds an answer's body: interim answers,
 * the head and the trailers.
 */
export const maxOverhead = 64 * 1024;

/** Maximum overhead per byte of a body; a chunk of one byte has 5. */
export const maxOverheadPerByte = 8;

/**
 * Maximum bytes that are read of an answer that no request waits for, so that
 * it can end in order.
 */
export const maxUnwanted = 256 * 1024;

/** What the bytes of a connection are read for. */
type Purpose =
  /** No request is sent. */
  | 'none'
  /** A request waits for its answer. */
  | 'answer'
  /** The answer is no longer needed. */
  | 'end';

/** Counts the bytes of one connection. */
export interface ReadLimit {
  /** Whether nothing more may be read. */
  readonly isReached: boolean;
  /** A request waits for its answer from now on. */
  expect(): void;
  /** The rest of the answer is not needed. */
  discard(): void;
  /** The request has ended. */
  release(): void;
  /** Counts bytes that were read from the connection. */
  read(count: number): void;
  /** Counts those of them that were a part of the answer's body. */
  passed(count: number): void;
}

/** Creates the limit of a connection that has carried no request yet. */
export function createReadLimit(): ReadLimit {
  let purpose: Purpose = 'none';
  let bytes = 0;
  let bodyBytes = 0;

  function begin(next: Purpose): void {
    purpose = next;
    bytes = 0;
    bodyBytes = 0;
  }

  return {
    get isReached() {
      if (purpose === 'none') return bytes > 0;
      if (purpose === 'end') return bytes > maxUnwanted;
      const overhead = bytes - bodyBytes;
      return overhead > maxOverhead + bodyBytes * maxOverheadPerByte;
    },
    expect: () => begin('answer'),
    discard: () => {
      if (purpose === 'answer') begin('end');
    },
    release: () => begin('none'),
    read: count => {
      bytes += count;
    },
    passed: count => {
      bodyBytes += count;
    },
  };
}
