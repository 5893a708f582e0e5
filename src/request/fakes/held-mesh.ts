/** A mesh whose first gate is reached over a link that can be held up. */
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {settle} from '../../time/fakes/fake-timers.js';
import {announcementOf} from './fake-endpoints.js';
import {createHeldLink} from './held-link.js';
import {createMesh} from './mesh.js';
import type {MeshOptions} from './mesh.js';

const step = 50;

/** Starts the mesh, which is closed when the test ends. */
export async function createHeldMesh(
  t: ExecutionContext,
  options: MeshOptions,
) {
  const mesh = await createMesh({
    entry: {balancer: {choose: candidates => candidates[0]!}},
    ...options,
  });
  const link = await createHeldLink(mesh.members[0]!.server.address);
  mesh.endpoints.put(announcementOf({gate: link.address, incarnation: 2}));
  t.teardown(async () => {
    link.close();
    await mesh.close();
  });

  /** Lets time pass in steps, in which what was sent arrives. */
  async function advance(duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += step) {
      await settle();
      mesh.timers.advance(step);
    }
    await settle();
  }

  async function send(path: string, body: string | Buffer | null) {
    const method = body === null ? 'GET' : 'POST';
    const answer = await request(`${mesh.url}${path}`, {method, body});
    const code = answer.headers['foxbarrow-code'] as string | undefined;
    return {status: answer.statusCode, code, text: await answer.body.text()};
  }

  return {
    mesh,
    link,
    advance,
    book: (body: string | Buffer = 'book') => send('/bookings', body),
    lookUp: () => send('/stock/7', null),
  };
}
