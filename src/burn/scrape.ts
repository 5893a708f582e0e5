import {request} from 'undici';
import {z} from 'zod';
import type {Address} from '../link/link.js';
import {metricNames} from '../admin/metric-names.js';
import {mergeCounts} from './samples.js';
import type {Scrape} from './samples.js';

/** Scrapes the request counts of nodes from their admin listeners. */

/** Result of one scrape of all nodes. */
export interface ScrapeResult {
  readonly scrapes: readonly Scrape[];
  /** Nodes that returned no valid counts in time. */
  readonly unreached: readonly Address[];
}

/** Nodes that are scraped concurrently. */
const concurrency = 64;

/** Milliseconds for one node. */
const scrapeTimeout = 2_000;

const responseSchema = z.object({
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
  const queue = [...nodes];

  async function work(): Promise<void> {
    for (let node = queue.shift(); node !== undefined; node = queue.shift()) {
      const scrape = await scrapeNode(node).catch(() => undefined);
      if (scrape === undefined) unreached.push(node);
      else scrapes.push(scrape);
    }
  }

  await Promise.all(Array.from({length: concurrency}, work));
  return {scrapes, unreached};
}

async function scrapeNode(node: Address): Promise<Scrape | undefined> {
  const url = `http://${node}/metrics/${metricNames.requests}`;
  const response = await request(url, {
    signal: AbortSignal.timeout(scrapeTimeout),
  });
  const body: unknown = await response.body.json();
  const parsed = responseSchema.safeParse(body);
  if (response.statusCode !== 200 || !parsed.success) return undefined;
  const counts = parsed.data.values.map(({labels, value}) => ({
    service: labels.service,
    policy: labels.policy,
    code: labels.code,
    verdict: labels.verdict,
    count: value,
  }));
  // The report sums the routes of one service and policy.
  return {node, started: parsed.data.started, counts: mergeCounts(counts)};
}
