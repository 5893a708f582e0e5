import {createConsola} from 'consola/core';
import type {ConsolaInstance, LogObject} from 'consola/core';
import type {LineSink} from './line-sink.js';
import {standardOutput} from './standard-output.js';

/** The level of a log line, or the minimum level that is logged. */
export type Level = 'error' | 'warn' | 'info' | 'debug';

const consolaLevels: Record<Level, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Structured fields of one log line, besides its message. */
export interface Fields {
  readonly [key: string]: string | number | boolean | null | undefined;
}

/**
 * Writes one line; `at` is its time in milliseconds since the Unix epoch, by
 * default the current time.
 */
export type WriteLine = (message: string, fields?: Fields, at?: number) => void;

/** Writes log lines; each is one JSON object on standard output. */
export interface Log {
  readonly error: WriteLine;
  readonly warn: WriteLine;
  readonly info: WriteLine;
  readonly debug: WriteLine;
  /** Returns a log whose lines carry the name of a component. */
  scope(name: string): Log;
}

/** Creates the log of a process; each line gives its name as `process`. */
export function createLog(
  process: string,
  level: Level = 'info',
  sink: LineSink = standardOutput(),
): Log {
  const consola = createConsola({
    level: consolaLevels[level],
    // Repeated lines must be logged too; by default the library omits them.
    throttle: 0,
    reporters: [{log: entry => writeLine(sink, process, entry)}],
  });
  return wrap(consola);
}

/** Creates a log that discards every line. */
export function createSilentLog(): Log {
  const drop = () => {};
  const log: Log = {
    error: drop,
    warn: drop,
    info: drop,
    debug: drop,
    scope: () => log,
  };
  return log;
}

function wrap(consola: ConsolaInstance): Log {
  const write =
    (level: Level): WriteLine =>
    (message, fields = {}, at) => {
      const date = at === undefined ? new Date() : new Date(at);
      consola[level]({args: [message, fields], date});
    };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
    scope: name => wrap(consola.withTag(name)),
  };
}

function writeLine(sink: LineSink, process: string, entry: LogObject): void {
  const dropped = sink.takeDropped();
  if (dropped > 0) {
    const notice = {message: 'log lines left out', reason: 'slow reader'};
    sink.write(
      format(entry.date, 'warn', process, {...notice, count: dropped}),
    );
  }
  const [message, fields] = entry.args as [string, Fields];
  const scope = entry.tag || undefined;
  sink.write(
    format(entry.date, entry.type, process, {scope, message, ...fields}),
  );
}

function format(
  date: Date,
  level: string,
  process: string,
  fields: Fields,
): string {
  const time = date.toISOString();
  return `${JSON.stringify({time, level, process, ...fields})}\n`;
}
