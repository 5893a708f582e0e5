const headerBytes = 4;

/** Prefixes a payload with its length, a big-endian 32-bit number. */
export function encodeFrame(payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(headerBytes + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, headerBytes);
  return frame;
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
