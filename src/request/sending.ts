/** One request on one connection, and what is known of it when it fails. */
import type {Dispatcher} from 'undici';
import type {Connections} from './connections.js';
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
  /** Breaks the connection off; `Receiver.failed` follows unless it ended. */
  cancel(reason: Error): void;
}

/** Sends a request; undefined when no connection was free. */
export function send(
  connections: Connections,
  outgoing: Outgoing,
  receiver: Receiver,
): Sending | undefined {
  let controller: Dispatcher.DispatchController | undefined;
  let cancelled: Error | undefined;
  let began = false;
  let ended = false;

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: started => {
      controller = started;
      // The client may start a request again when a connection was reset; the
      // upstream would run it twice, so only the first start is let through.
      if (began) return started.abort(new Error('a second start'));
      if (cancelled !== undefined) return started.abort(cancelled);
      began = true;
      receiver.began();
    },
    onResponseStart: (started, status, _headers, reason) => {
      if (status < 200) return receiver.interim(status);
      receiver.head(status, reason ?? '', started.rawHeaders as Buffer[]);
    },
    onResponseData: (started, chunk) => {
      if (!receiver.data(chunk)) started.pause();
    },
    onResponseEnd: () => {
      ended = true;
      receiver.end();
    },
    onResponseError: (_started, error) => {
      if (ended) return;
      ended = true;
      receiver.failed(cancelled ?? error, began);
    },
  };

  const sent = connections.dispatch(
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
  if (!sent) return undefined;
  return {
    resume: () => controller?.resume(),
    cancel: reason => {
      if (ended) return;
      cancelled ??= reason;
      controller?.abort(reason);
    },
  };
}

function bodyOf(upload: Upload): Buffer | AsyncIterable<Buffer> | null {
  if (upload.kind === 'none') return null;
  if (upload.kind === 'whole') return upload.bytes;
  return upload.parts();
}
