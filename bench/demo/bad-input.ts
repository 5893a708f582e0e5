/**
 * Checks that bad input is refused with a numbered code and stops no process.
 */
import type {Deployment} from '../deployment/deployment.js';
import {until} from '../deployment/until.js';
import {call, sendRaw} from './calls.js';
import type {Checks} from './checks.js';

/** Larger than the body limits in the examples. */
const oversizedBytes = 300 * 1024;

/**
 * Sends several kinds of bad input, then checks that the deployment still
 * works.
 */
export async function tryBadInput(
  deployment: Deployment,
  checks: Checks,
): Promise<void> {
  const entry = deployment.instances[0]!.settings.callerAddress;
  const unknown = await call(entry, '/nowhere');
  expectCode(checks, 'an unknown route', unknown.code, 5001);

  const path = isQurm(deployment) ? '/bookings' : '/certificates';
  const large = await call(entry, path, {
    method: 'POST',
    key: 'large',
    body: Buffer.alloc(oversizedBytes),
  });
  expectCode(checks, 'a body over the limit', large.code, 5017);

  const raw = await sendRaw(
    entry,
    'GET /stock/x HTTP/1.1\r\nhost: a\r\nbroken header\r\n\r\n',
  );
  const code = Number(/foxbarrow-code: (\d+)/i.exec(raw)?.[1] ?? 0);
  expectCode(checks, 'a broken header', code, 5015);

  const malformed = await deployment.operate('put', 'rout', 'x');
  checks.check(
    'a malformed command exits with 2 and marks the unknown word',
    malformed.code === 2 && malformed.errors.includes('^'),
    `${malformed.code} ${malformed.errors}`,
  );
  await tryDeadUpstream(deployment, checks);
}

/** Kills all upstreams of one service; its calls must fail as not run. */
async function tryDeadUpstream(
  deployment: Deployment,
  checks: Checks,
): Promise<void> {
  const service = isQurm(deployment) ? 'parts-files' : 'drillvault';
  const path = isQurm(deployment) ? '/files/x' : '/gate-checks/x';
  const killed = deployment.instances.filter(one => one.service === service);
  for (const instance of killed) instance.upstream.signal('SIGKILL');
  await Promise.all(killed.map(({upstream}) => upstream.ended()));
  const entry = deployment.instances[0]!.settings.callerAddress;
  const reply = await call(entry, path);
  checks.check(
    'calls to killed upstreams are refused with a code and the effect not-run',
    reply.effect === 'not-run' && [5003, 5008].includes(reply.code),
    `${reply.code} ${reply.effect}`,
  );
  const pathOfOtherService = isQurm(deployment) ? '/stock/x' : '/records/x';
  await until('the other service still answers', 10_000, async () => {
    const next = await call(entry, pathOfOtherService);
    return next.status === 200;
  });
  checks.check('the other service still answers', true);
}

function isQurm(deployment: Deployment): boolean {
  return deployment.instances.some(({service}) => service === 'stock-desk');
}

function expectCode(
  checks: Checks,
  what: string,
  code: number,
  expected: number,
): void {
  checks.check(
    `${what} is refused with ${expected}`,
    code === expected,
    `${code}`,
  );
}
