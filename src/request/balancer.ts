/** Which of a service's instances gets the next request. */
import type {Random} from '../random/random.js';

/** An instance as a balancer sees it. */
export interface Candidate {
  readonly instance: string;
  readonly slots: number;
  /** Own requests under way at it. */
  readonly outstanding: number;
  /** Its gate's last word on its load, aged; work over slots. */
  readonly load: number;
  /** Its share while it warms, above 0 to 1. */
  readonly weight: number;
  /** Whether it is in the entry's own failure domain. */
  readonly local: boolean;
}

/** A balancing rule. */
export abstract class Balancer {
  /** Chooses one of at least one candidate. */
  abstract choose<T extends Candidate>(candidates: readonly T[]): T;
}

/**
 * How busy an instance is, counting what it says and what was sent since. The
 * weight is not in it: a cold instance would lose every comparison with an
 * idle one and never warm.
 */
export function busyness(candidate: Candidate): number {
  const {slots, load, outstanding} = candidate;
  return (load * slots + outstanding + 1) / slots;
}

/** Each instance is as likely, but for its weight. */
export function createRandomBalancer(random: Random): Balancer {
  return new (class extends Balancer {
    choose<T extends Candidate>(candidates: readonly T[]): T {
      return draw(candidates, random);
    }
  })();
}

/** One instance after the other. */
export function createRoundRobinBalancer(): Balancer {
  let turn = 0;
  return new (class extends Balancer {
    choose<T extends Candidate>(candidates: readonly T[]): T {
      return candidates[turn++ % candidates.length]!;
    }
  })();
}

/** The least busy of all by own outstanding work; ties go by chance. */
export function createLeastOutstandingBalancer(random: Random): Balancer {
  const score = (candidate: Candidate) =>
    (candidate.outstanding + 1) / (candidate.slots * candidate.weight);
  return new (class extends Balancer {
    choose<T extends Candidate>(candidates: readonly T[]): T {
      const least = Math.min(...candidates.map(score));
      return random.pick(candidates.filter(one => score(one) <= least));
    }
  })();
}

/**
 * The less busy of two drawn by chance. Two choices keep entries that share
 * the same late word on loads from all running to the same instance.
 */
export function createPowerOfTwoBalancer(random: Random): Balancer {
  return new (class extends Balancer {
    choose<T extends Candidate>(candidates: readonly T[]): T {
      const first = draw(candidates, random);
      if (candidates.length === 1) return first;
      const others = candidates.filter(one => one !== first);
      const second = draw(others, random);
      return busyness(second) < busyness(first) ? second : first;
    }
  })();
}

/**
 * Puts instances of the own failure domain first until they are busier than
 * `limit`, a share of their slots.
 */
export function preferLocal<T extends Candidate>(
  candidates: readonly T[],
  limit: number,
): readonly T[] {
  const near = candidates.filter(one => one.local && busyness(one) < limit);
  return near.length > 0 ? near : candidates;
}

function draw<T extends Candidate>(
  candidates: readonly T[],
  random: Random,
): T {
  if (candidates.length === 1) return candidates[0]!;
  let total = 0;
  for (const candidate of candidates) total += candidate.weight;
  let mark = random.fraction() * total;
  for (const candidate of candidates) {
    mark -= candidate.weight;
    if (mark < 0) return candidate;
  }
  return candidates[candidates.length - 1]!;
}
