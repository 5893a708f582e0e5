/** Encoding of messages as payloads of frames. */
import {Packr} from 'msgpackr';

/** Encodes messages as payloads and decodes them. */
export interface Codec {
  encode(message: unknown): Buffer;
  decode(payload: Buffer): unknown;
}

/** Creates a codec that sends the keys with each message. */
export function createPlainCodec(): Codec {
  const packr = new Packr({useRecords: false});
  return {
    encode: message => packr.pack(message),
    decode: payload => packr.unpack(payload) as unknown,
  };
}

/**
 * Creates the codec of one link on which the keys of each message shape are sent
 * only once. Since a link is ordered and never loses a message, each end can refer
 * to the shapes that it sent before; a new link starts without any. Each link
 * generates its own readers for the received shapes, so this codec suits small
 * numbers of links.
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
