/**
 * Frames as they travel: lists, a frame's number first and then its fields in
 * a fixed order. All links of a process share one reader, which has settled
 * after the first calls; with keys that travel once, each link compiled readers
 * of its own for each kind of frame, and a node has dozens of links.
 */
import type {
  Priority,
  Repeatability,
} from '../../configuration/configuration.js';
import {createPlainCodec} from '../../link/codec.js';
import type {Codec} from '../../link/codec.js';
import type {EntryFrame, GateFrame} from './frames.js';

type Frame = EntryFrame | GateFrame;

/** Numbers of the frames; one that is given up is not used again. */
const numbers = {
  call: 0,
  cancel: 1,
  taken: 2,
  ping: 3,
  head: 4,
  data: 5,
  end: 6,
  cut: 7,
  refused: 8,
  pong: 9,
  leaving: 10,
} as const satisfies Record<Frame['type'], number>;

const lists = createPlainCodec();

/** The codec of all framed links. */
export const frameCodec: Codec = {
  encode: message => lists.encode(toList(message as Frame)),
  decode: payload => toFrame(lists.decode(payload) as unknown[]),
};

function toList(frame: Frame): unknown[] {
  const number = numbers[frame.type];
  switch (frame.type) {
    case 'call':
      return [
        number,
        frame.call,
        frame.request,
        frame.instance,
        frame.service,
        frame.policy,
        frame.caller,
        frame.method,
        frame.path,
        frame.headers,
        frame.body,
        frame.priority,
        frame.repeatability,
        frame.key,
        frame.left,
        frame.goodFor,
      ];
    case 'taken':
      return [number, frame.call, frame.bytes];
    case 'head':
      return [
        number,
        frame.call,
        frame.status,
        frame.reason,
        frame.headers,
        frame.load,
      ];
    case 'data':
      return [number, frame.call, frame.chunk];
    case 'refused':
      return [number, frame.call, frame.code, frame.retryAfter, frame.load];
    case 'cancel':
    case 'end':
    case 'cut':
      return [number, frame.call];
    case 'ping':
    case 'pong':
    case 'leaving':
      return [number];
  }
}

function toFrame(list: unknown[]): Frame {
  const call = list[1] as number;
  switch (list[0]) {
    case numbers.call:
      return {
        type: 'call',
        call,
        request: list[2] as string,
        instance: list[3] as string,
        service: list[4] as string,
        policy: list[5] as string | undefined,
        caller: list[6] as string | undefined,
        method: list[7] as string,
        path: list[8] as string,
        headers: list[9] as string[],
        body: list[10] as Buffer | undefined,
        priority: list[11] as Priority,
        repeatability: list[12] as Repeatability,
        key: list[13] as string | undefined,
        left: list[14] as number,
        goodFor: list[15] as number,
      };
    case numbers.cancel:
      return {type: 'cancel', call};
    case numbers.taken:
      return {type: 'taken', call, bytes: list[2] as number};
    case numbers.ping:
      return {type: 'ping'};
    case numbers.head:
      return {
        type: 'head',
        call,
        status: list[2] as number,
        reason: list[3] as string,
        headers: list[4] as string[],
        load: list[5] as number,
      };
    case numbers.data:
      return {type: 'data', call, chunk: list[2] as Buffer};
    case numbers.end:
      return {type: 'end', call};
    case numbers.cut:
      return {type: 'cut', call};
    case numbers.refused:
      return {
        type: 'refused',
        call,
        code: list[2] as number,
        retryAfter: list[3] as number,
        load: list[4] as number,
      };
    case numbers.pong:
      return {type: 'pong'};
    case numbers.leaving:
      return {type: 'leaving'};
    default:
      throw new Error(`unknown frame ${String(list[0])}`);
  }
}
