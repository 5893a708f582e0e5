/** Checks that the demos of both deployments share. */
import {request} from 'undici';
import type {Deployment} from '../deployment/deployment.js';
import {call, sha256} from './calls.js';
import type {Checks} from './checks.js';

const uploadBytes = 8 * 1024 * 1024;

/**
 * Sends a lookup through each node; each answer must be complete and its own.
 */
export async function tryLookups(
  deployment: Deployment,
  checks: Checks,
  what: string,
  path: string,
): Promise<void> {
  const replies = await Promise.all(
    deployment.instances.map(({settings}) => {
      const tag = `${what} ${settings.name}`.replaceAll(' ', '-');
      return call(settings.callerAddress, path, {tag}).then(reply => ({
        reply,
        tag,
      }));
    }),
  );
  const correct = replies.filter(
    ({reply, tag}) =>
      reply.status === 200 && reply.isWhole && reply.tag === tag,
  );
  const codes = replies.map(({reply}) => reply.code || reply.status).join(' ');
  checks.check(
    `${what} through ${replies.length} nodes get complete answers of their own`,
    correct.length === replies.length,
    codes,
  );
}

/** Work that must run exactly once. */
export interface Once {
  readonly what: string;
  readonly service: string;
  readonly path: string;
}

/**
 * Sends the work, then sends it again with the same key through another entry.
 * It must run once, and the key must be refused for a different body.
 */
export async function tryOnce(
  deployment: Deployment,
  checks: Checks,
  {what, service, path}: Once,
): Promise<void> {
  const entries = deployment.instances.map(
    ({settings}) => settings.callerAddress,
  );
  const key = `demo-${what.replaceAll(' ', '-')}`;
  const body = Buffer.from(JSON.stringify({item: 'one', count: 1}));
  const options = {method: 'POST', key, tag: key, body} as const;
  const first = await call(entries[0]!, path, options);
  checks.check(
    `a ${what} is answered`,
    first.status === 200 && first.isWhole,
    `${first.code}`,
  );
  const resend = await call(entries.at(-1)!, path, options);
  checks.check(
    `a resend of the ${what} through another node gets the first answer`,
    resend.status === 200 && resend.body.equals(first.body),
    `${resend.code}`,
  );
  const runs = await countRuns(deployment, service, key);
  checks.check(`the ${what} ran once`, runs === 1, `${runs} runs`);
  const other = await call(entries[1]!, path, {
    ...options,
    body: Buffer.from('{"item":"other"}'),
  });
  checks.check(
    `the key of the ${what} with another body is refused as not run`,
    other.effect === 'not-run' && other.code === 6001,
    `${other.code} ${other.effect}`,
  );
}

async function countRuns(
  deployment: Deployment,
  service: string,
  key: string,
): Promise<number> {
  let runs = 0;
  for (const instance of deployment.instances) {
    if (instance.service !== service) continue;
    const answer = await request(`http://${instance.upstreamAddress}/counts`);
    const counts = (await answer.body.json()) as {
      runs: {[key: string]: number};
    };
    runs += counts.runs[key] ?? 0;
  }
  return runs;
}

/** Uploads a file and compares the digest that the upstream computed. */
export async function tryUpload(
  deployment: Deployment,
  checks: Checks,
  path: string,
): Promise<void> {
  const body = Buffer.alloc(uploadBytes, 'scan');
  const entry = deployment.instances[0]!.settings.callerAddress;
  const reply = await call(entry, path, {method: 'PUT', tag: 'up', body});
  const digest = reply.status === 200 ? receivedDigest(reply.body) : '';
  checks.check(
    `an upload of ${uploadBytes} bytes is stored whole`,
    reply.isWhole && digest === sha256(body),
    `${reply.status} ${reply.code}`,
  );
}

function receivedDigest(body: Buffer): string {
  return (JSON.parse(body.toString()) as {received: string}).received;
}
