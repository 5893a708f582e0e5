/**
 * Recognizes answers to other requests on an upstream's connection by the
 * request id that upstreams repeat. An upstream may send an answer a second
 * time, at the point where the answer to the next request is expected. The next
 * request is already running then, and its own answer follows.
 */
import {firstFinalStatus, isBodyless} from '../messages/status.js';

/** An answer that arrived where the one to another request was expected. */
export interface StrayAnswer {
  readonly status: number;
  /** Id of the request that it answers; undefined if it bears none. */
  readonly id: string | undefined;
}

/** Distinguishes the answer to one request from those to others. */
export interface AnswerIdentity {
  /** Lower-case name of the header that repeats the id of the request. */
  readonly header: string;
  readonly id: string;
  /** Called with each answer that was removed. */
  readonly onStray: (answer: StrayAnswer) => void;
}

/** Removes stray answers from the bytes of one connection. */
export interface StrayAnswerFilter {
  /**
   * Whether more stray answers, or more bytes of them, came or were announced
   * than are removed for one request.
   */
  readonly isFull: boolean;
  /**
   * Starts to look for the answer to a request; without an identity all bytes
   * pass.
   */
  expect(method: string, identity: AnswerIdentity | undefined): void;
  /** The next bytes without stray answers; empty if all are held or removed. */
  filter(chunk: Buffer): Buffer;
}

/** Maximum size of an answer's head in bytes; a larger one passes as it is. */
const maxHeadSize = 16 * 1024;

/**
 * Maximum bytes of stray answers that are removed for one request. An upstream
 * in trouble may announce or send bytes without end.
 */
const maxStraySize = 4 * 1024 * 1024;

/** Maximum number of stray answers that are removed for one request. */
const maxStrayAnswers = 64;

const lineBreak = '\r\n';
const headEnd = `${lineBreak}${lineBreak}`;
const versionPrefix = 'HTTP/1.';
const nothing: Buffer = Buffer.alloc(0);
const colon = ':'.charCodeAt(0);

/** What follows on the connection. */
type Position =
  /** The start of an answer's head. */
  | 'head'
  /** The body of a stray answer. */
  | 'stray-body'
  /** The answer to the request, or bytes that can't be assigned. */
  | 'answer';

/** Creates the filter of a connection that has carried no request yet. */
export function createStrayAnswerFilter(): StrayAnswerFilter {
  let position: Position = 'answer';
  let identity: AnswerIdentity | undefined;
  let hasSentHeadRequest = false;
  /** The beginning of an incomplete head. */
  let held = nothing;
  /** Bytes of a stray body that have not arrived. */
  let strayBytes = 0;
  /** Number and bytes of the stray answers since the request was sent. */
  let strayAnswers = 0;
  let straySize = 0;

  const isPassing = () => position === 'answer';
  const isFull = () =>
    strayAnswers > maxStrayAnswers || straySize > maxStraySize;

  /** Removes what has arrived of a stray body. */
  function skipBody(bytes: Buffer): Buffer {
    const count = Math.min(strayBytes, bytes.length);
    strayBytes -= count;
    if (strayBytes === 0) position = 'head';
    return bytes.subarray(count);
  }

  function passFromHere(bytes: Buffer): Buffer {
    position = 'answer';
    return bytes;
  }

  /** Reads the head at the start of `bytes`; returns what is left of them. */
  function readHead(bytes: Buffer, passed: Buffer[]): Buffer {
    const end = bytes.indexOf(headEnd);
    if (end >= 0) return handleHead(bytes, end + headEnd.length, passed);
    if (!isPartOfHead(bytes)) return passFromHere(bytes);
    held = bytes;
    return nothing;
  }

  /** Handles a complete head that ends at `size`. */
  function handleHead(bytes: Buffer, size: number, passed: Buffer[]): Buffer {
    const head = bytes.toString('latin1', 0, size);
    const status = statusOf(head);
    if (status === undefined) return passFromHere(bytes);
    if (status < firstFinalStatus) {
      passed.push(bytes.subarray(0, size));
      return bytes.subarray(size);
    }
    const [id] = fieldValues(head, identity!.header);
    const bodySize = strayBodySize(status, id, head);
    if (bodySize === undefined) return passFromHere(bytes);
    identity!.onStray({status, id});
    strayBytes = bodySize;
    strayAnswers++;
    straySize += size + bodySize;
    if (strayBytes > 0) position = 'stray-body';
    return bytes.subarray(size);
  }

  /** Undefined if the answer is not stray, or if its end is unknown. */
  function strayBodySize(
    status: number,
    id: string | undefined,
    head: string,
  ): number | undefined {
    const isStray = id !== undefined && id !== identity!.id;
    if (!isStray || hasSentHeadRequest) return undefined;
    return bodySizeOf(status, head);
  }

  return {
    get isFull() {
      return isFull();
    },
    expect: (method, expected) => {
      // The answer to a HEAD request has a length but no body, so the end of a
      // second copy is unknown.
      if (method === 'HEAD') hasSentHeadRequest = true;
      identity = expected;
      strayAnswers = 0;
      straySize = 0;
      position = expected === undefined ? 'answer' : 'head';
    },
    filter: chunk => {
      if (isPassing()) return chunk;
      const passed: Buffer[] = [];
      let rest = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
      held = nothing;
      while (rest.length > 0 && !isPassing() && !isFull()) {
        rest = position === 'head' ? readHead(rest, passed) : skipBody(rest);
      }
      if (rest.length > 0 && !isFull()) passed.push(rest);
      return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
    },
  };
}

/** Whether bytes may be the beginning of an answer's head. */
function isPartOfHead(bytes: Buffer): boolean {
  if (bytes.length > maxHeadSize) return false;
  const start = bytes.toString('latin1', 0, versionPrefix.length);
  return versionPrefix.startsWith(start);
}

const statusLine = /^HTTP\/1\.[01] (\d{3})[ \r]/;

function statusOf(head: string): number | undefined {
  const status = statusLine.exec(head)?.[1];
  return status === undefined ? undefined : Number(status);
}

/** The size of an answer's body; undefined if the head alone doesn't tell. */
function bodySizeOf(status: number, head: string): number | undefined {
  if (isBodyless(status)) return 0;
  if (fieldValues(head, 'transfer-encoding').length > 0) return undefined;
  const lengths = fieldValues(head, 'content-length');
  const [length] = lengths;
  const isLength = lengths.length === 1 && /^\d{1,15}$/.test(length!);
  return isLength ? Number(length) : undefined;
}

/** The values of the fields with a lower-case name. */
function fieldValues(head: string, name: string): string[] {
  const values: string[] = [];
  let start = 0;
  while (start < head.length) {
    const end = lineEndAfter(head, start);
    const valueAt = start + name.length + 1;
    if (
      valueAt <= end &&
      head.charCodeAt(valueAt - 1) === colon &&
      head.slice(start, valueAt - 1).toLowerCase() === name
    ) {
      values.push(head.slice(valueAt, end).trim());
    }
    start = end + lineBreak.length;
  }
  return values;
}

function lineEndAfter(head: string, start: number): number {
  const end = head.indexOf(lineBreak, start);
  return end < 0 ? head.length : end;
}
