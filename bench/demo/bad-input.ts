/** Bad input: each gets its numbered code and stops no process. */
import type {Deployment} from '../deployment/deployment.js';
import {until} from '../deployment/until.js';
import {call, sendRaw} from './calls.js';
import type {Checks} from './checks.js';

const tooLarge = 300 * 1024;

/** Sends what is wrong in turn, then checks that all goes on. */
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
    body: Buffer.alloc(tooLarge),
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
    'a malformed command exits 2 and points at the word',
    malformed.code === 2 && malformed.errors.includes('^'),
    `${malformed.code} ${malformed.errors}`,
  );
  await tryDeadUpstream(deployment, checks);
}

/** The service's only other instances are drained, so the dead one is chosen. */
async function tryDeadUpstream(
  deployment: Deployment,
  checks: Checks,
): Promise<void> {
  const service = isQurm(deployment) ? 'parts-files' : 'drillvault';
  const path = isQurm(deployment) ? '/files/x' : '/gate-checks/x';
  const places = deployment.instances.filter(one => one.service === service);
  for (const place of places) place.upstream.signal('SIGKILL');
  await Promise.all(places.map(({upstream}) => upstream.ended()));
  const entry = deployment.instances[0]!.settings.callerAddress;
  const reply = await call(entry, path);
  checks.check(
    'dead upstreams give a numbered refusal that says not-run',
    reply.effect === 'not-run' && [5003, 5008].includes(reply.code),
    `${reply.code} ${reply.effect}`,
  );
  const alive = isQurm(deployment) ? '/stock/x' : '/records/x';
  await until('the other service goes on', 10_000, async () => {
    const next = await call(entry, alive);
    return next.status === 200;
  });
  checks.check('the other service goes on', true);
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
