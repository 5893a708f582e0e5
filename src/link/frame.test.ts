import test from 'ava';
import {createFrameReader, encodeFrames} from './frame.js';

test('frames are read completely for any split of the bytes', t => {
  const payloads = ['first', '', 'third'].map(text => Buffer.from(text));
  const bytes = encodeFrames(payloads);
  for (let size = 1; size <= bytes.length; size++) {
    const frames: string[] = [];
    const reader = createFrameReader(100, frame => frames.push(`${frame}`));
    for (let at = 0; at < bytes.length; at += size) {
      reader.push(bytes.subarray(at, at + size));
    }
    t.deepEqual(frames, ['first', '', 'third']);
  }
});

test('a frame over the limit is refused before its bytes are buffered', t => {
  const reader = createFrameReader(10, () => t.fail());
  t.throws(() => reader.push(encodeFrames([Buffer.alloc(11)])));
});
