/** An operator that sends configurations as PROTOCOL.md describes it. */
import {setTimeout as pause} from 'node:timers/promises';

const {AbortSignal, fetch} = globalThis;

/** Sends one call; follows a redirect twice. */
export async function call(address, method, path, body, limit = 1000) {
  let url = `http://${address}${path}`;
  for (let hops = 0; hops <= 2; hops++) {
    const answer = await fetch(url, {
      method,
      redirect: 'manual',
      ...(body !== undefined && {
        body,
        headers: {'content-type': 'application/json'},
      }),
      signal: AbortSignal.timeout(limit),
    });
    const text = await answer.text();
    if (answer.status !== 307) return {status: answer.status, text};
    url = answer.headers.get('location');
  }
  return {status: 0, text: 'redirected too often'};
}

/** Sends an order until it gets 200 or a final status; false if it gets neither. */
export async function putUntilAcknowledged(addresses, body, limit = 20_000) {
  const end = Date.now() + limit;
  for (let turn = 0; Date.now() < end; turn++) {
    try {
      const address = addresses[turn % addresses.length];
      const answer = await call(address, 'PUT', '/v1/config', body);
      if (answer.status === 200) return answer;
      if ([400, 409, 412, 413, 422].includes(answer.status)) return answer;
    } catch {
      // No response; the same order goes to the next one.
    }
    await pause(150);
  }
  return undefined;
}

/** The text of a configuration. */
export function configuration({version, base, routes, services}) {
  return JSON.stringify({
    version: `r${version}`,
    routes,
    services: Object.fromEntries(
      services.map(name => [
        name,
        {
          health_check_path: '/health',
          max_connections: 130,
          protocol: 'h1',
          tls: false,
        },
      ]),
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    base_version: base === 0 ? 0 : `r${base}`,
  });
}
