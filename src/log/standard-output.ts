import {createTimers} from '../time/timers.js';
import {createLineSink} from './line-sink.js';
import type {LineSink} from './line-sink.js';

const standardOutputDescriptor = 1;

let sink: LineSink | undefined;

/** The sink of standard output; there is only one, so that lines don't interleave. */
export function standardOutput(): LineSink {
  sink ??= createLineSink({
    descriptor: standardOutputDescriptor,
    timers: createTimers(),
  });
  return sink;
}
