import type {Random} from '../../src/random/random.js';

/** What a caller asks for. */
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

/** One kind of call and how often it comes, relative to the others. */
export interface MixEntry {
  readonly kind: CallKind;
  readonly weight: number;
}

/** One call, ready to be sent. */
export interface Call {
  readonly kind: CallKind;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly key?: string;
  readonly body?: Buffer;
}

const names = 500;

/** Reads `kind=weight,kind=weight`; throws on an unknown kind. */
export function parseMix(text: string): MixEntry[] {
  return text.split(',').map(part => {
    const [kind, weight = '1'] = part.split('=');
    if (!callKinds.includes(kind as CallKind)) {
      throw new Error(`${kind}: not one of ${callKinds.join(', ')}`);
    }
    return {kind: kind as CallKind, weight: Number(weight)};
  });
}

/** Draws a kind by its weight. */
export function pickKind(mix: readonly MixEntry[], random: Random): CallKind {
  const total = mix.reduce((sum, share) => sum + share.weight, 0);
  let left = random.fraction() * total;
  for (const share of mix) {
    left -= share.weight;
    if (left < 0) return share.kind;
  }
  return mix[0]!.kind;
}

/** Makes a call; `tag` is its own name, also its idempotency key. */
export function createCall(
  kind: CallKind,
  tag: string,
  uploadBytes: number,
  random: Random,
): Call {
  const id = random.integer(names);
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
