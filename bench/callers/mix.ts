import type {Random} from '../../src/random/random.js';

/** Kinds of calls. */
export const callKinds = [
  'stock-lookup',
  'booking',
  'file-upload',
  'file-download',
  'record-lookup',
  'certificate',
  'video-upload',
  'gate-check',
  'validity-check',
] as const;

export type CallKind = (typeof callKinds)[number];

/** A kind of call with its relative frequency. */
export interface MixEntry {
  readonly kind: CallKind;
  readonly weight: number;
}

/** The content of a call. */
export interface Call {
  readonly kind: CallKind;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly body?: Buffer;
}

/** Number of different items, such as parts and crew members, in lookups. */
const itemCount = 500;

/** Parses `kind=weight,kind=weight`; throws on an unknown kind. */
export function parseMix(text: string): MixEntry[] {
  return text.split(',').map(part => {
    const [kind, weight = '1'] = part.split('=');
    if (!callKinds.includes(kind as CallKind)) {
      throw new Error(`${kind}: not one of ${callKinds.join(', ')}`);
    }
    return {kind: kind as CallKind, weight: Number(weight)};
  });
}

/** Picks a random kind according to the weights. */
export function pickKind(mix: readonly MixEntry[], random: Random): CallKind {
  const total = mix.reduce((sum, entry) => sum + entry.weight, 0);
  let remaining = random.fraction() * total;
  for (const entry of mix) {
    remaining -= entry.weight;
    if (remaining < 0) return entry.kind;
  }
  return mix[0]!.kind;
}

/** Creates a call; `tag` is also its idempotency key if it needs one. */
export function createCall(
  kind: CallKind,
  tag: string,
  uploadBytes: number,
  random: Random,
): Call {
  const id = random.integer(itemCount);
  const body = () => Buffer.alloc(uploadBytes, tag);
  const order = () => Buffer.from(JSON.stringify({tag, part: id, count: 1}));
  switch (kind) {
    case 'stock-lookup':
      return {kind, method: 'GET', path: `/stock/part-${id}`};
    case 'booking':
      return {kind, method: 'POST', path: '/bookings', key: tag, body: order()};
    case 'file-upload':
      return {kind, method: 'PUT', path: `/files/${tag}`, body: body()};
    case 'file-download':
      return {kind, method: 'GET', path: `/files/photo-${id}`};
    case 'record-lookup':
      return {kind, method: 'GET', path: `/records/crew-${id}`};
    case 'certificate':
      return {
        kind,
        method: 'POST',
        path: '/certificates',
        key: tag,
        body: order(),
      };
    case 'video-upload':
      return {kind, method: 'PUT', path: `/videos/${tag}`, body: body()};
    case 'gate-check':
      return {kind, method: 'GET', path: `/gate-checks/crew-${id}`};
    case 'validity-check':
      return {kind, method: 'GET', path: `/validity/crew-${id}`};
  }
}
