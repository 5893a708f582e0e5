/** Validates reports that are received from another process. */
import {z} from 'zod';
import {bucketCount} from './duration-buckets.js';
import type {RolloutReport, RolloutReports} from './messages.js';

const count = z.number().int().nonnegative();
const text = z.string().max(256);

const counts = z.object({
  role: z.enum(['stable', 'target']),
  route: text,
  instance: text,
  sent: count,
  answers: count,
  failures: count,
  durations: z.array(count).max(2 * bucketCount),
});

const report: z.ZodType<RolloutReport> = z.object({
  service: text,
  order: count,
  node: text,
  life: text,
  sequence: count,
  version: count,
  isConfirmed: z.boolean(),
  stableRunning: count,
  counts: z.array(counts).max(1024),
});

const reports = z.object({reports: z.array(report).max(10_000)});

/** Parses a message of a node; undefined when it is not a valid report. */
export function parseReport(body: unknown): RolloutReport | undefined {
  return report.safeParse(body).data;
}

/** Parses a message of another home. */
export function parseReports(body: unknown): RolloutReports | undefined {
  return reports.safeParse(body).data;
}
