/** One request on one connection, and what is known of it when it fails. */
import type {Dispatcher} from 'undici';
import type {Connections, Handler} from './connections.js';
import type {Upload} from './upload.js';

/** What goes to the next hop. */
export interface Outgoing {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Upload;
}

/** Hears what becomes of a request that was sent. */
export abstract class Receiver {
  /** The first byte is about to be written; from here on it may have run. */
  abstract began(): void;

  /** An interim answer (1xx) came. */
  abstract interim(status: number): void;

  abstract head(status: number, reason: string, headers: Buffer[]): void;

  /** Takes a part of the answer; false pauses until `Sending.resume`. */
  abstract data(chunk: Buffer): boolean;

  abstract end(): void;

  /** It failed; `began` tells whether a byte may have been written. */
  abstract failed(error: Error, began: boolean): void;
}

/** A request under way. */
export interface Sending {
  resume(): void;
  /**
   * Asks the other side to end the work and waits for it to close; harmless
   * where `cancel` follows.
   */
  close(reason: Error): void;
  /** Breaks the connection off; `Receiver.failed` follows unless it ended. */
  cancel(reason: Error): void;
}

/** Lower ones are interim. */
const firstFinalStatus = 200;

/** Sends a request; undefined when no connection was free. */
export function send(
  connections: Connections,
  outgoing: Outgoing,
  receiver: Receiver,
): Sending | undefined {
  let abort: ((reason?: Error) => void) | undefined;
  let resume = () => {};
  let cancelled: Error | undefined;
  let began = false;
  let ended = false;

  const handler: Handler = {
    onConnect: breakOff => {
      abort = breakOff;
      // The client may start a request again when a connection was reset; the
      // upstream would run it twice, so only the first start is let through.
      if (began) return breakOff(new Error('a second start'));
      if (cancelled !== undefined) return breakOff(cancelled);
      began = true;
      receiver.began();
    },
    onHeaders: (status, headers, goOn, reason) => {
      resume = goOn;
      if (status < firstFinalStatus) receiver.interim(status);
      else receiver.head(status, reason, headers);
      return true;
    },
    onData: chunk => receiver.data(chunk),
    onComplete: () => {
      ended = true;
      receiver.end();
    },
    onError: error => {
      if (ended) return;
      ended = true;
      receiver.failed(cancelled ?? error, began);
    },
  };

  const connection = connections.dispatch(
    {
      method: outgoing.method as Dispatcher.HttpMethod,
      path: outgoing.path,
      headers: outgoing.headers,
      body: bodyOf(outgoing.body) as Dispatcher.DispatchOptions['body'],
      // The client would close its connection after each HEAD.
      reset: outgoing.method === 'HEAD' ? false : undefined,
    },
    handler,
  );
  if (connection === undefined) return undefined;

  function cancel(reason: Error): void {
    if (ended) return;
    cancelled ??= reason;
    abort?.(reason);
  }

  return {
    resume: () => resume(),
    close: reason => {
      if (!began) return cancel(reason);
      if (ended) return;
      cancelled ??= reason;
      connection.halfClose();
      resume();
    },
    cancel,
  };
}

function bodyOf(upload: Upload): Buffer | AsyncIterable<Buffer> | null {
  if (upload.kind === 'none') return null;
  if (upload.kind === 'whole') return upload.bytes;
  return upload.parts();
}
