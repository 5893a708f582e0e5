import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator: the same seed yields the same sequence. */
export interface Random {
  /** Returns a number of at least 0 and less than 1. */
  fraction(): number;
  /** Returns an integer of at least 0 and less than `limit`. */
  integer(limit: number): number;
  /** Returns one of `items`, which must not be empty. */
  pick<T>(items: readonly T[]): T;
}

/** Creates a random number generator from an integer seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const fraction = () => uniformFloat64(generator);
  const integer = (limit: number) => uniformInt(generator, 0, limit - 1);
  return {
    fraction,
    integer,
    pick: items => items[integer(items.length)]!,
  };
}
