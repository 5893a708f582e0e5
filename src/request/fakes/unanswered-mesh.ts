/** A mesh whose upstream answers only when the test does. */
import type {ServerResponse} from 'node:http';
import type {ExecutionContext} from 'ava';
import {createMesh} from './mesh.js';
import type {MeshOptions} from './mesh.js';

/** A booking, as it is sent on a connection. */
export const bookingText =
  'POST /bookings HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab';

/** Starts the mesh, which is closed when the test ends. */
export async function createUnansweredMesh(
  t: ExecutionContext,
  options: Partial<MeshOptions> = {},
) {
  /** The answers that the upstream owes. */
  const answers: ServerResponse[] = [];
  const mesh = await createMesh({
    upstreams: [(_req, res) => void answers.push(res)],
    ...options,
  });
  t.teardown(() => mesh.close());
  return {mesh, answers, gate: mesh.members[0]!.gate};
}
