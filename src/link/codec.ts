/** How messages become the payloads of frames. */
import {Packr} from 'msgpackr';

/** Turns messages into payloads and back. */
export interface Codec {
  encode(message: unknown): Buffer;
  decode(payload: Buffer): unknown;
}

/** Creates a codec that writes the keys of each message. */
export function createPlainCodec(): Codec {
  const packr = new Packr({useRecords: false});
  return {
    encode: message => packr.pack(message),
    decode: payload => packr.unpack(payload) as unknown,
  };
}

/**
 * Creates the codec of one link on which the keys of a message's shape travel
 * once. A link is ordered and never loses a message, so each end can refer to
 * the shapes that it sent before; a new link begins with none. Each link makes
 * readers of its own for the shapes that come by it, so this is for links that
 * are few.
 */
export function createKeySharingCodec(): Codec {
  const encoder = createSequentialPackr();
  const decoder = createSequentialPackr();
  return {
    encode: message => encoder.pack(message),
    decode: payload => decoder.unpack(payload) as unknown,
  };
}

function createSequentialPackr(): Packr {
  return new Packr({sequential: true, useRecords: true});
}
