/** Which requests of a load are granted by different designs. */
import type {Quota} from '../../src/configuration/configuration.js';
import type {QuotaBounds} from '../../src/quotas/budget.js';
import {createQuotaGroup} from '../../src/quotas/fakes/quota-group.js';
import type {Load} from './load.js';

/** What a design did with a load. */
export interface DesignResult {
  /** Whether each request was granted, in the order of the load. */
  readonly granted: readonly boolean[];
  /** Whether each request waited for a message. */
  readonly waited: readonly boolean[];
  /** Messages and bytes from and to nodes. */
  readonly messages: number;
  readonly bytes: number;
}

const homes = 6;

/** Milliseconds from the first configuration until the load begins. */
const startTime = 4_000;

/** Bytes of a question to the owner and of its reply, by the same encoding. */
const ownerBytes = 60;

class TokenBucket {
  private level: number;
  private filledAt = 0;

  constructor(
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  take(at: number): boolean {
    const added = ((at - this.filledAt) * this.rate) / 1000;
    this.level = Math.min(this.burst, this.level + added);
    this.filledAt = at;
    if (this.level < 1) return false;
    this.level--;
    return true;
  }
}

function bucketOf({rate, burst}: Quota, part: number): TokenBucket {
  return new TokenBucket(rate * part, Math.max(1, burst * part));
}

function decide(load: Load, nodes: number | undefined): boolean[] {
  const buckets = new Map<string, TokenBucket>();
  return load.arrivals.map(({at, workspace, node}) => {
    const key = nodes === undefined ? workspace : `${workspace}/${node}`;
    const quota = load.quotas[workspace]!;
    const bucket = buckets.get(key) ?? bucketOf(quota, 1 / (nodes ?? 1));
    buckets.set(key, bucket);
    return bucket.take(at);
  });
}

/** Each node has an equal part of rate and burst, and one credit at least. */
export function playStaticShares(load: Load, nodes: number): DesignResult {
  const granted = decide(load, nodes);
  return {granted, waited: granted.map(() => false), messages: 0, bytes: 0};
}

/** One owner of each quota is asked for each request. */
export function playOwner(load: Load): DesignResult {
  const granted = decide(load, undefined);
  const messages = 2 * granted.length;
  const bytes = ownerBytes * granted.length;
  return {granted, waited: granted.map(() => true), messages, bytes};
}

/** The product's own decisions and messages, on simulated time. */
export async function playShares(
  load: Load,
  nodes: number,
  bounds: QuotaBounds,
  duration: number,
): Promise<DesignResult> {
  const group = createQuotaGroup({homes, nodes, bounds});
  await group.advance(500);
  group.configure(load.quotas);
  await group.advance(startTime);
  const count = () =>
    (group.messages.get('node>home') ?? 0) +
    (group.messages.get('home>node') ?? 0);
  const before = {messages: count(), bytes: group.nodeBytes()};
  const start = group.timers.now();
  let next = 0;
  const send = () => {
    const arrival = load.arrivals[next];
    if (arrival === undefined) return;
    group.timers.after(start + arrival.at - group.timers.now(), () => {
      next++;
      group.take(`node-${arrival.node + 1}`, arrival.workspace);
      send();
    });
  };
  send();
  await group.advance(duration + 500);
  return {
    granted: group.taken.map(({outcome}) => outcome === 'granted'),
    waited: group.taken.map(each => each.decidedAt - each.askedAt > 5),
    messages: count() - before.messages,
    bytes: group.nodeBytes() - before.bytes,
  };
}
