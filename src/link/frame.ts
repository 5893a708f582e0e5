/** Bytes before each payload. */
export const headerBytes = 4;

/** Puts payloads one behind the other, each after its length, 32 bits big-endian. */
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

/** Cuts a byte stream into frames. */
export interface FrameReader {
  /** Takes bytes as they come; throws when a frame is over the limit. */
  push(chunk: Buffer): void;
}

/** Creates a reader that hands each whole payload to `receive`. */
export function createFrameReader(
  limit: number,
  receive: (payload: Buffer) => void,
): FrameReader {
  let chunks: Buffer[] = [];
  let held = 0;
  let wanted = headerBytes;

  function take(): Buffer {
    const joined = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks = [joined];
    return joined;
  }

  function drop(count: number): void {
    const rest = chunks[0]!.subarray(count);
    chunks = rest.length > 0 ? [rest] : [];
    held = rest.length;
  }

  return {
    push(chunk) {
      chunks.push(chunk);
      held += chunk.length;
      while (held >= wanted) {
        const joined = take();
        const length = joined.readUInt32BE(0);
        if (length > limit) throw new Error(`frame of ${length} bytes`);
        wanted = headerBytes + length;
        if (held < wanted) return;
        const payload = joined.subarray(headerBytes, wanted);
        drop(wanted);
        wanted = headerBytes;
        receive(payload);
      }
    },
  };
}
