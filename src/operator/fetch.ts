import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** The options of a fetch request that the tRPC client uses. */
interface Options {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
  readonly signal?: AbortSignal | null;
}

/** The part of a response that the tRPC client uses. */
interface Response {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/**
 * Creates a fetch function for the tRPC client, based on `undici.request`. The
 * built-in fetch refuses the ports that browsers block, but a control process
 * may listen on any port.
 */
export function createFetch(dispatcher: Dispatcher) {
  return async (url: unknown, options: Options = {}): Promise<Response> => {
    const {method = 'GET', headers, body, signal} = options;
    const response = await request(String(url), {
      dispatcher,
      method: method as Dispatcher.HttpMethod,
      headers: headers as Record<string, string>,
      body: body as string | undefined,
      signal,
    });
    const ok = response.statusCode >= 200 && response.statusCode < 300;
    return {ok, json: () => response.body.json()};
  };
}
