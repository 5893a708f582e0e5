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
  let chunks: Buffer[] = [];
  let buffered = 0;
  let required = headerBytes;

  function joinChunks(): Buffer {
    const joined = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks = [joined];
    return joined;
  }

  function discard(count: number): void {
    const rest = chunks[0]!.subarray(count);
    chunks = rest.length > 0 ? [rest] : [];
    buffered = rest.length;
  }

  return {
    push(chunk) {
      chunks.push(chunk);
      buffered += chunk.length;
      while (buffered >= required) {
        const joined = joinChunks();
        const length = joined.readUInt32BE(0);
        if (length > limit)
          throw new Error(`frame of ${length} bytes exceeds the limit`);
        required = headerBytes + length;
        if (buffered < required) return;
        const payload = joined.subarray(headerBytes, required);
        discard(required);
        required = headerBytes;
        receive(payload);
      }
    },
  };
}
