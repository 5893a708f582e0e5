/** Messages about departures between a process and its home, and their schemas. */
import {z} from 'zod';
import type {Departure} from '../configuration/departures.js';
import {departureSchema} from '../configuration/schemas.js';

/** Asks a home to record a departure, or for the recorded ones of an instance. */
export type Question =
  | {
      readonly kind: 'record';
      readonly number: number;
      readonly departure: Departure;
    }
  | {
      readonly kind: 'recall';
      readonly number: number;
      readonly instance: string;
    };

/** A message of a home; a question that failed gets no reply. */
export type Reply =
  /** First message on a link; homes of older releases do not send it. */
  | {readonly kind: 'ready'}
  | {readonly kind: 'recorded'; readonly number: number}
  | {
      readonly kind: 'recalled';
      readonly number: number;
      readonly departures: readonly Departure[];
    };

const number = z.number().int().nonnegative();

const question: z.ZodType<Question, z.ZodTypeDef, unknown> =
  z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('record'),
      number,
      departure: departureSchema,
    }),
    z.object({
      kind: z.literal('recall'),
      number,
      instance: z.string().min(1).max(256),
    }),
  ]);

const reply: z.ZodType<Reply, z.ZodTypeDef, unknown> = z.discriminatedUnion(
  'kind',
  [
    z.object({kind: z.literal('ready')}),
    z.object({kind: z.literal('recorded'), number}),
    z.object({
      kind: z.literal('recalled'),
      number,
      departures: z.array(departureSchema),
    }),
  ],
);

/** Reads a question; undefined if it is malformed. */
export function parseQuestion(body: unknown): Question | undefined {
  return question.safeParse(body).data;
}

/** Reads a reply; undefined if it is malformed. */
export function parseReply(body: unknown): Reply | undefined {
  return reply.safeParse(body).data;
}
