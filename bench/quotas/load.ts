import type {Quota} from '../../src/configuration/configuration.js';
import {createRandom} from '../../src/random/random.js';

/** One request of a workspace at a node; its time is in milliseconds. */
export interface Arrival {
  readonly at: number;
  readonly workspace: string;
  readonly node: number;
}

/** A load and the quotas that it is held to. */
export interface Load {
  readonly quotas: Readonly<Record<string, Quota>>;
  readonly arrivals: readonly Arrival[];
}

/** Options of `createLoad`. */
export interface LoadOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly workspaces: number;
  /** Requests per second of all workspaces. */
  readonly rate: number;
  /** Milliseconds. */
  readonly duration: number;
}

const domains = 3;
const exponent = 1.2;
const headroom = 1.6;

/** Part of a workspace's requests in its own domain, which moves half-way. */
const skew = 0.6;

/** The fifth workspace sends many times its usual rate in the second half. */
export const surge = {workspace: 4, factor: 7};

/** The name of a workspace by its rank. */
export function workspaceName(index: number): string {
  return `workspace-${index}`;
}

/** Creates a load of workspaces whose sizes follow a power law. */
export function createLoad(options: LoadOptions): Load {
  const {nodes, duration} = options;
  const random = createRandom(options.seed * 7919 + 104729);
  for (let draw = 0; draw < 20; draw++) random.fraction();
  const weights = Array.from(
    {length: options.workspaces},
    (_none, index) => (index + 1) ** -exponent,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const quotas: Record<string, Quota> = {};
  const arrivals: Arrival[] = [];
  for (const [index, weight] of weights.entries()) {
    const rate = (options.rate * weight) / total;
    const workspace = workspaceName(index);
    quotas[workspace] = {rate: rate * headroom, burst: rate};
    const home = random.integer(domains);
    let at = 0;
    for (;;) {
      const isSecondHalf = at > duration / 2;
      const isSurge = isSecondHalf && index === surge.workspace;
      const present = rate * (isSurge ? surge.factor : 1);
      at += (-Math.log(1 - random.fraction()) / present) * 1000;
      if (at >= duration) break;
      const domain = (home + (isSecondHalf ? 1 : 0)) % domains;
      const isNear = random.fraction() < skew;
      const place = random.integer(Math.floor(nodes / domains)) * domains;
      const node = isNear ? place + domain : random.integer(nodes);
      arrivals.push({at, workspace, node});
    }
  }
  arrivals.sort((left, right) => left.at - right.at);
  return {quotas, arrivals};
}
