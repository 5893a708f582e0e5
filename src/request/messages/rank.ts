/** The order in which calls that wait get capacity. */
import type {Priority} from '../../configuration/configuration.js';
import type {Call} from './call.js';

/**
 * Calls go by priority, and within one nested calls go first. The request that
 * waits for a nested call holds a slot elsewhere, and fails with it.
 */
export type Rank = Priority | `nested-${Priority}`;

/** All ranks, the highest first. */
export const ranks: readonly Rank[] = [
  'nested-critical',
  'critical',
  'nested-normal',
  'normal',
  'nested-background',
  'background',
];

/** Whether a rank is that of nested calls. */
export function isNestedRank(rank: Rank): boolean {
  return rank.startsWith('nested-');
}

/** The rank of a call. */
export function rankOf({
  priority,
  isNested,
}: Pick<Call, 'priority' | 'isNested'>): Rank {
  return isNested === true ? `nested-${priority}` : priority;
}
