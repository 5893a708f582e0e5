/** Validates messages that are received from another process. */
import {z} from 'zod';
import type {
  Ask,
  AskEntry,
  CreditEntry,
  HomeMessage,
  PeerMessage,
} from './messages.js';

const count = z.number().int().nonnegative().max(1_000_000_000);
/** Zeros are not sent. */
const countOrNone = count.default(0);
const number = z.number().int().nonnegative();
const amount = z.number().finite().nonnegative();
const fraction = z.number().min(0).max(1);
const text = z.string().min(1).max(256);

/** Above the limit on workspaces in the settings. */
const maxEntries = 20_000;

const ready = z.object({kind: z.literal('ready'), name: text});

const ask = z.object({
  kind: z.literal('ask'),
  sequence: number,
  entries: z
    .array(
      z.object({
        workspace: text,
        waiting: countOrNone,
        spent: countOrNone,
        unused: countOrNone,
        returned: countOrNone,
        missed: countOrNone,
        wanted: countOrNone,
      }),
    )
    .max(maxEntries),
});

const credits = z.object({
  kind: z.literal('credits'),
  sequence: number,
  entries: z
    .array(
      z.object({
        workspace: text,
        granted: countOrNone,
        ahead: countOrNone,
        refused: countOrNone,
        retry: amount.optional(),
        spread: amount.optional(),
        isUnknown: z.boolean().optional(),
      }),
    )
    .max(maxEntries),
});

const share = {
  workspace: text,
  number,
  rate: fraction,
  capacity: fraction,
};

const demand = z.object({
  kind: z.literal('demand'),
  home: text,
  life: text,
  sequence: number,
  isFull: z.boolean(),
  isRelay: z.boolean(),
  entries: z.array(z.object({...share, demand: amount})).max(maxEntries),
});

const shares = z.object({
  kind: z.literal('shares'),
  home: text,
  life: text,
  leader: text,
  term: number,
  sequence: number,
  needsAll: z.boolean(),
  entries: z.array(z.object({...share, basis: number})).max(maxEntries),
});

const borrow = z.object({
  kind: z.literal('borrow'),
  workspace: text,
  number,
  count,
});

const lend = z.object({kind: z.literal('lend'), number, count});

const homeMessage = z.discriminatedUnion('kind', [ready, credits]);
const peerMessage = z.discriminatedUnion('kind', [
  ready,
  demand,
  shares,
  borrow,
  lend,
]);

/** Parses a message of a node; undefined when it is not valid. */
export function parseAsk(body: unknown): Ask | undefined {
  return ask.safeParse(body).data;
}

/** An entry of a message as it is sent. */
export function withoutZeros(entry: AskEntry | CreditEntry): object {
  return Object.fromEntries(
    Object.entries(entry).filter(([, value]) => value !== 0),
  );
}

/** Parses a message of a home to a node. */
export function parseHomeMessage(body: unknown): HomeMessage | undefined {
  return homeMessage.safeParse(body).data as HomeMessage | undefined;
}

/** Parses a message of another home. */
export function parsePeerMessage(body: unknown): PeerMessage | undefined {
  return peerMessage.safeParse(body).data;
}
