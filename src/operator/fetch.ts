import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** The part of a fetch request that trpc's client uses. */
interface Options {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
  readonly signal?: AbortSignal | null;
}

/** The part of a response that trpc's client uses. */
interface Response {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/**
 * A fetch for trpc's client over `undici.request`: the built-in one refuses
 * the ports that browsers do, and a control process may listen on any.
 */
export function createFetch(dispatcher: Dispatcher) {
  return async (url: unknown, options: Options = {}): Promise<Response> => {
    const {method = 'GET', headers, body, signal} = options;
    const answer = await request(String(url), {
      dispatcher,
      method: method as Dispatcher.HttpMethod,
      headers: headers as Record<string, string>,
      body: body as string | undefined,
      signal,
    });
    const ok = answer.statusCode >= 200 && answer.statusCode < 300;
    return {ok, json: () => answer.body.json()};
  };
}
