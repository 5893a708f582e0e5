import {request} from 'undici';
import {z} from 'zod';
import type {Address} from '../link/link.js';
import {metricNames} from '../admin/metric-names.js';
import {mergeCounts} from './samples.js';
import type {Scrape} from './samples.js';

/** Reads the request counts of nodes from their admin listeners. */

/** What a round of scrapes gave. */
export interface ScrapeResult {
  readonly scrapes: readonly Scrape[];
  /** Nodes that gave nothing usable in time. */
  readonly unreached: readonly Address[];
}

/** Nodes asked at the same time. */
const parallel = 64;

/** Milliseconds for one node. */
const patience = 2_000;

const reply = z.object({
  started: z.number(),
  values: z.array(
    z.object({
      labels: z.object({
        service: z.string(),
        policy: z.string(),
        code: z.coerce.number(),
        verdict: z.enum(['good', 'slow', 'failed']),
      }),
      value: z.number(),
    }),
  ),
});

/** Scrapes all nodes once. */
export async function scrapeNodes(
  nodes: readonly Address[],
): Promise<ScrapeResult> {
  const scrapes: Scrape[] = [];
  const unreached: Address[] = [];
  const waiting = [...nodes];

  async function work(): Promise<void> {
    for (
      let node = waiting.shift();
      node !== undefined;
      node = waiting.shift()
    ) {
      const scrape = await scrapeNode(node).catch(() => undefined);
      if (scrape === undefined) unreached.push(node);
      else scrapes.push(scrape);
    }
  }

  await Promise.all(Array.from({length: parallel}, work));
  return {scrapes, unreached};
}

async function scrapeNode(node: Address): Promise<Scrape | undefined> {
  const url = `http://${node}/metrics/${metricNames.requests}`;
  const answer = await request(url, {signal: AbortSignal.timeout(patience)});
  const body: unknown = await answer.body.json();
  const parsed = reply.safeParse(body);
  if (answer.statusCode !== 200 || !parsed.success) return undefined;
  const counts = parsed.data.values.map(({labels, value}) => ({
    service: labels.service,
    policy: labels.policy,
    code: labels.code,
    verdict: labels.verdict,
    count: value,
  }));
  // Routes of one service and policy are one line of the report.
  return {node, started: parsed.data.started, counts: mergeCounts(counts)};
}
