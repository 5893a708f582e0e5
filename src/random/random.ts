import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded randomness: the same seed gives the same choices. */
export interface Random {
  /** A number of at least 0 and less than 1. */
  fraction(): number;
  /** A whole number of at least 0 and less than `limit`. */
  integer(limit: number): number;
  /** One of `items`; they must not be empty. */
  pick<T>(items: readonly T[]): T;
}

/** Creates randomness from a whole-number seed. */
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
