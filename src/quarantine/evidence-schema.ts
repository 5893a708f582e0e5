/** Validates evidence that is received from another process. */
import {z} from 'zod';
import type {Evidence} from './messages.js';

const digest = z.string().regex(/^[a-f0-9]{32}$/);
const text = z.string().max(256);

const suspect = z.object({
  name: digest,
  head: digest,
  service: text,
  request: text,
});

const evidence = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('crash'),
    id: text,
    life: text,
    suspects: z.array(suspect).max(64),
  }),
  z.object({kind: z.literal('answer'), id: text, name: digest}),
]);

/** Parses a message body; undefined when it is not valid evidence. */
export function parseEvidence(body: unknown): Evidence | undefined {
  return evidence.safeParse(body).data;
}
