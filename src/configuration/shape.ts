import {z} from 'zod';
import type {Command} from './messages.js';

/**
 * Shapes of commands as they come from operators and out of the log. Parsing
 * gives each object its keys in one order and each list one order, so that
 * equal items are equal bytes. Deployments' limits are not checked here.
 */

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 letters a-z, digits, dots or hyphens',
  );

const count = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const keeper = z
  .object({
    instance: name,
    incarnation: count,
    address: z.string().min(3).max(64),
    failureDomain: name,
  })
  .strict();

const keeperSet = z
  .object({epoch: count, members: z.array(keeper).min(1).max(5)})
  .strict();

const keepers = keeperSet.extend({
  previous: keeperSet.optional(),
  quarantine: count.optional(),
});

const service = z
  .object({name, slowStart: count, keepers: keepers.optional()})
  .strict();

const objective = z
  .object({target: z.number().min(0).max(1), latency: count})
  .strict();

const policy = z
  .object({
    name,
    priority: z.enum(['critical', 'normal', 'background']),
    deadline: count.positive(),
    attempts: count.positive(),
    repeatability: z.enum(['idempotent', 'once']),
    bodyLimit: count,
    objective,
  })
  .strict();

const method = z
  .string()
  .regex(/^[A-Z]{1,16}$/, 'must be a method in capitals, such as GET');

const route = z
  .object({
    name,
    prefix: z
      .string()
      .regex(
        /^\/[!-~]*$/,
        'must be a path that starts with / and has no spaces',
      ),
    methods: z.array(method).max(16).transform(sortUnique),
    service: name,
    policy: name,
  })
  .strict();

const drain = z.object({name, service: name}).strict();

const item = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('service'), value: service}).strict(),
  z.object({kind: z.literal('route'), value: route}).strict(),
  z.object({kind: z.literal('policy'), value: policy}).strict(),
  z.object({kind: z.literal('drain'), value: drain}).strict(),
]);

/** The kinds of item. */
export const kindShape = z.enum(['service', 'route', 'policy', 'drain']);

const edit = z.discriminatedUnion('action', [
  z.object({action: z.literal('put'), item}).strict(),
  z.object({action: z.literal('remove'), kind: kindShape, name}).strict(),
]);

/** An operator's command. */
export const commandShape: z.ZodType<Command, z.ZodTypeDef, Command> = z
  .object({
    operator: name,
    sequence: count.positive(),
    expectedVersion: count.optional(),
    edits: z.array(edit).min(1, 'must hold at least one edit'),
  })
  .strict();

const bounds = z.object({
  services: count,
  routes: count,
  policies: count,
  drains: count,
  operators: count.positive(),
  answers: count.positive(),
  history: count.positive(),
});

/** One entry of the log. */
export const entryShape = z.object({
  command: commandShape,
  time: z.number(),
  bounds,
});

/** A name, for queries. */
export const nameShape = name;

function sortUnique(values: string[]): string[] {
  return [...new Set(values)].sort();
}
