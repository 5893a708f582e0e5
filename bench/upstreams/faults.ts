import type {ServerResponse} from 'node:http';

/**
 * Faults that a test can inject into the next answers of an upstream.
 * - `reset-unrun`: the connection closes before the work starts.
 * - `reset-before-head`: the work runs, then the connection closes without a
 *   response.
 * - `reset-after-head`: the connection closes after the response head.
 * - `cut`: the connection closes in the middle of the body.
 * - `length`: the content-length header is larger than the body.
 * - `hang`: the work runs and no response is sent.
 */
export const faultKinds = [
  'reset-unrun',
  'reset-before-head',
  'reset-after-head',
  'cut',
  'length',
  'hang',
] as const;

export type FaultKind = (typeof faultKinds)[number];

/** Faults to inject into the next work requests. */
export interface FaultQueue {
  /**
   * Injects the fault into the next `count` requests; replaces earlier ones.
   */
  set(kind: FaultKind, count: number): void;
  /** The fault for the current request, if any. */
  take(): FaultKind | undefined;
}

/** Creates a queue without faults. */
export function createFaultQueue(): FaultQueue {
  let kind: FaultKind | undefined;
  let remaining = 0;
  return {
    set(next, count) {
      kind = next;
      remaining = count;
    },
    take() {
      if (remaining === 0) return undefined;
      remaining--;
      return kind;
    },
  };
}

/** Sends a response that is damaged by the fault. */
export function sendFaulty(
  response: ServerResponse,
  headers: Record<string, string>,
  body: Buffer,
  fault: FaultKind,
): void {
  const socket = response.socket;
  const declaredLength = fault === 'length' ? body.length + 10 : body.length;
  const head = {...headers, 'content-length': `${declaredLength}`};
  if (fault === 'hang') return;
  if (fault === 'reset-before-head' || fault === 'reset-unrun') {
    socket?.destroy();
    return;
  }
  response.writeHead(200, head);
  const part = fault === 'length' ? body : body.subarray(0, body.length / 2);
  const sent = fault === 'reset-after-head' ? Buffer.alloc(0) : part;
  response.flushHeaders();
  response.write(sent, () => socket?.end());
}
