import {readFile} from 'node:fs/promises';
import {z} from 'zod';
import {adminCodes} from '../admin/codes.js';
import type {Item} from '../configuration/configuration.js';
import type {Address} from '../link/link.js';
import {createOperatorClient} from '../operator/create-operator-client.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {createTimers} from '../time/timers.js';
import type {Target} from './burn.js';

/** Reads objectives from the policies in force or from a file. */

const objectivesSchema = z.array(
  z
    .object({
      policy: z.string(),
      target: z.number().min(0).max(1),
      latency: z.number().positive(),
    })
    .strict(),
);

/** Reads a file of objectives: a list of {policy, target, latency}. */
export async function readTargets(path: string): Promise<Result<Target[]>> {
  try {
    const parsed = objectivesSchema.safeParse(
      JSON.parse(await readFile(path, 'utf8')),
    );
    if (parsed.success) return success(parsed.data);
    const issue = parsed.error.issues[0]!;
    return objectivesMissing(
      `${path}: ${issue.path.join('.')}: ${issue.message}`,
    );
  } catch (error) {
    return objectivesMissing(`${path}: ${(error as Error).message}`);
  }
}

/** Requests the objectives of the policies in force from the control group. */
export async function requestTargets(
  addresses: readonly Address[],
  token: string | undefined,
): Promise<Result<Target[]>> {
  const client = createOperatorClient({
    addresses,
    timers: createTimers(),
    ...(token !== undefined && {token}),
  });
  const reply = await client.items('policy');
  await client.close();
  if (!reply.ok) return objectivesMissing(`control: ${reply.refusal.message}`);
  return success(reply.value.items.flatMap(targetOf));
}

function targetOf(item: Item): Target[] {
  if (item.kind !== 'policy') return [];
  return [{policy: item.value.name, ...item.value.objective}];
}

function objectivesMissing(message: string): Result<never> {
  return failure(adminCodes.objectivesMissing, message);
}
