import test from 'ava';
import {createPlainCodec} from '../../link/codec.js';
import {frameCodec} from './frame-codec.js';
import type {EntryFrame, GateFrame} from './frames.js';

const call: EntryFrame = {
  type: 'call',
  call: 7,
  request: 'r-1',
  instance: 'stock-desk-1',
  service: 'stock-desk',
  policy: 'lookup',
  caller: undefined,
  method: 'POST',
  path: '/stock/7?x=ä',
  headers: ['Host', 'stock', 'x-odd', 'ä'],
  body: Buffer.from([0, 255, 128]),
  priority: 'normal',
  repeatability: 'once',
  key: 'k',
  left: 1500,
  goodFor: 0,
};

const frames: ReadonlyArray<EntryFrame | GateFrame> = [
  call,
  {...call, body: undefined, policy: undefined, key: undefined, caller: 'a'},
  {...call, body: Buffer.alloc(0), call: 2 ** 40},
  {type: 'cancel', call: 7},
  {type: 'taken', call: 7, bytes: 65536},
  {type: 'ping'},
  {
    type: 'head',
    call: 7,
    status: 200,
    reason: 'OK',
    headers: ['a', 'b'],
    load: 0.375,
  },
  {type: 'data', call: 7, chunk: Buffer.from('part')},
  {type: 'end', call: 7},
  {type: 'cut', call: 7},
  {type: 'refused', call: 7, code: 5001, retryAfter: 0.02, load: 2},
  {type: 'pong'},
  {type: 'leaving'},
];

for (const frame of frames) {
  test(`a frame arrives as it was sent: ${JSON.stringify(frame)}`, t => {
    const read = frameCodec.decode(frameCodec.encode(frame));
    t.deepEqual(read, frame as unknown);
  });
}

test('frames of one kind have one shape, whichever link they come by', t => {
  const [first, second] = [call, {...call, key: undefined, body: undefined}];
  const keysOf = (frame: EntryFrame) =>
    Object.keys(frameCodec.decode(frameCodec.encode(frame)) as object);
  t.deepEqual(keysOf(first), keysOf(second));
});

for (const payload of [[99, 1], 'call', 5, {type: 'call'}, null]) {
  test(`what is no frame is an error: ${JSON.stringify(payload)}`, t => {
    const bytes = frameCodec.encode({type: 'ping'});
    t.notThrows(() => frameCodec.decode(bytes));
    t.throws(() => frameCodec.decode(encodeAny(payload)));
  });
}

function encodeAny(value: unknown): Buffer {
  return createPlainCodec().encode(value);
}
