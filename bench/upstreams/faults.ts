import type {ServerResponse} from 'node:http';

/**
 * Faults on command.
 * - `reset-unrun`: the connection ends before the work begins.
 * - `reset-before-head`: the work runs, the connection ends without an answer.
 * - `reset-after-head`: the connection ends after the answer's head.
 * - `cut`: the connection ends in the middle of the body.
 * - `length`: the head promises more bytes than the body has.
 * - `hang`: the work runs and no answer ever comes.
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

/** The faults that wait for the next work requests. */
export interface FaultQueue {
  set(kind: FaultKind, count: number): void;
  take(): FaultKind | undefined;
}

/** Creates an empty queue of faults. */
export function createFaultQueue(): FaultQueue {
  let kind: FaultKind | undefined;
  let left = 0;
  return {
    set(next, count) {
      kind = next;
      left = count;
    },
    take() {
      if (left === 0) return undefined;
      left--;
      return kind;
    },
  };
}

/** Sends an answer as the fault bends it. */
export function sendFaulty(
  response: ServerResponse,
  headers: Record<string, string>,
  body: Buffer,
  fault: FaultKind,
): void {
  const socket = response.socket;
  const promised = fault === 'length' ? body.length + 10 : body.length;
  const head = {...headers, 'content-length': `${promised}`};
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
