/** Size of the header before each payload, in bytes. */
export const headerBytes = 4;

/** Concatenates payloads, each preceded by its length as 32 bits in big-endian order. */
export function encodeFrames(payloads: readonly Buffer[]): Buffer {
  let size = 0;
  for (const {length} of payloads) size += headerBytes + length;
  const frames = Buffer.allocUnsafe(size);
  let at = 0;
  for (const payload of payloads) {
    frames.writeUInt32BE(payload.length, at);
    payload.copy(frames, at + headerBytes);
    at += headerBytes + payload.length;
  }
  return frames;
}

/** Splits a byte stream into frames. */
export interface FrameReader {
  /** Processes received bytes; throws if a frame exceeds the limit. */
  push(chunk: Buffer): void;
}

/** Creates a reader that passes each complete payload to `receive`. */
export function createFrameReader(
  limit: number,
  receive: (payload: Buffer) => void,
): FrameReader {
  /** Parts of a frame that is not complete. */
  let chunks: Buffer[] = [];
  let buffered = 0;
  let required = headerBytes;

  function joinWith(chunk: Buffer): Buffer {
    if (chunks.length === 0) return chunk;
    chunks.push(chunk);
    const joined = Buffer.concat(chunks);
    chunks = [];
    return joined;
  }

  function keep(rest: Buffer): void {
    buffered = rest.length;
    if (buffered > 0) chunks.push(rest);
  }

  return {
    push(chunk) {
      if (buffered + chunk.length < required) {
        chunks.push(chunk);
        buffered += chunk.length;
        return;
      }
      const bytes = joinWith(chunk);
      let at = 0;
      while (bytes.length - at >= headerBytes) {
        const length = bytes.readUInt32BE(at);
        if (length > limit)
          throw new Error(`frame of ${length} bytes exceeds the limit`);
        required = headerBytes + length;
        if (bytes.length - at < required) break;
        const payload = bytes.subarray(at + headerBytes, at + required);
        at += required;
        required = headerBytes;
        receive(payload);
      }
      keep(at === 0 ? bytes : bytes.subarray(at));
    },
  };
}
