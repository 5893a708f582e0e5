import {z} from 'zod';
import type {Limits} from '../configuration/limits.js';
import {defaults} from './defaults.js';

const {limits} = defaults;

const count = z.number().int().positive();

/**
 * Schema of the limits on the configuration and on commands; see
 * docs/operators/language.md.
 */
export const limitsSchema: z.ZodType<Limits, z.ZodTypeDef, unknown> = z
  .object({
    services: count.default(limits.services),
    routes: count.default(limits.routes),
    policies: count.default(limits.policies),
    drains: count.default(limits.drains),
    quarantines: count.default(limits.quarantines),
    workspaces: count.default(limits.workspaces),
    keys: count.default(limits.keys),
    departures: count.default(limits.departures),
    operators: count.default(limits.operators),
    answers: count.default(limits.answers),
    history: count.default(limits.history),
    nameLength: count.max(63).default(limits.nameLength),
    prefixLength: count.default(limits.prefixLength),
    edits: count.default(limits.edits),
    deadline: count.default(limits.deadline),
    slowStart: count.default(limits.slowStart),
    rollout: count.default(limits.rollout),
    attempts: count.default(limits.attempts),
    bodyLimit: count.default(limits.bodyLimit),
    sequenceAhead: count.default(limits.sequenceAhead),
  })
  .strict();
