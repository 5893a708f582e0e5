import test from 'ava';
import type {Quota} from '../configuration/configuration.js';
import {createRandom} from '../random/random.js';
import {createQuotaGroup} from './fakes/quota-group.js';
import type {QuotaGroup, Taken} from './fakes/quota-group.js';

const bounds = {window: 5_000, overage: 0.1, slack: 20};
const nodes = 25;
const homes = 2;
/** Requests per second of all workspaces. */
const totalRate = 880;
/** Milliseconds for which a request may wait for a credit. */
const patience = 80;

/** Usual rates of 77 workspaces, by a power law. */
function createRates(): Map<string, number> {
  const sizes = Array.from({length: 77}, (_none, index) => (index + 1) ** -1.2);
  const sum = sizes.reduce((total, size) => total + size, 0);
  return new Map(
    sizes.map((size, index) => [
      `workspace-${index}`,
      (size / sum) * totalRate,
    ]),
  );
}

/** Sends the usual rates; a refused caller returns once, when it is told to. */
async function play(group: QuotaGroup, duration: number): Promise<Taken[]> {
  const random = createRandom(11);
  const {timers} = group;
  const end = timers.now() + duration;
  const firsts: Taken[] = [];

  function sendNext(workspace: string, rate: number): void {
    timers.after((-Math.log(1 - random.fraction()) / rate) * 1000, () => {
      if (timers.now() >= end) return;
      const node = `node-${1 + random.integer(nodes)}`;
      const taken = group.take(node, workspace, patience);
      firsts.push(taken);
      timers.after(patience + 20, () => {
        if (taken.outcome === 'granted') return;
        timers.after(taken.retryAfter * 1000, () =>
          group.take(node, workspace, patience),
        );
      });
      sendNext(workspace, rate);
    });
  }

  for (const [workspace, rate] of createRates()) sendNext(workspace, rate);
  await group.advance(duration + 500);
  return firsts;
}

async function createReadyGroup(messageTime: number): Promise<QuotaGroup> {
  const group = createQuotaGroup({homes, nodes, bounds, messageTime});
  const quotas: Record<string, Quota> = {};
  for (const [workspace, rate] of createRates()) {
    quotas[workspace] = {rate: rate * 1.6, burst: rate};
  }
  await group.advance(1_000);
  group.configure(quotas);
  await group.advance(3_000);
  return group;
}

// Questions that nobody waits for any more must not keep a home from answering.
for (const messageTime of [1, 4]) {
  test(`below their quotas 0.98 are admitted, ${messageTime} ms a message`, async t => {
    const group = await createReadyGroup(messageTime);
    const taken = await play(group, 4_000);
    const granted = taken.filter(({outcome}) => outcome === 'granted');
    const share = granted.length / taken.length;
    t.log(share, Object.fromEntries(group.messages));
    t.true(share >= 0.98, `${share} of ${taken.length}`);
  });
}
