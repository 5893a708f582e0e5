import {createConsola} from 'consola';
import type {ConsolaInstance, LogObject} from 'consola';

/** How much is logged. */
export type Level = 'error' | 'warn' | 'info' | 'debug';

const consolaLevels: Record<Level, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Facts of one log line, besides its message. */
export interface Fields {
  readonly [key: string]: string | number | boolean | null | undefined;
}

/** Writes log lines; each is one JSON object on standard error. */
export interface Log {
  error(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  debug(message: string, fields?: Fields): void;
  /** A log whose lines carry the name of one slice. */
  scope(name: string): Log;
}

/** Creates the log of a process. `process` names it in each line. */
export function createLog(process: string, level: Level = 'info'): Log {
  const consola = createConsola({
    level: consolaLevels[level],
    reporters: [{log: entry => writeLine(process, entry)}],
  });
  return wrap(consola);
}

/** A log that drops every line. */
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
  return {
    error: (message, fields) => consola.error(message, fields ?? {}),
    warn: (message, fields) => consola.warn(message, fields ?? {}),
    info: (message, fields) => consola.info(message, fields ?? {}),
    debug: (message, fields) => consola.debug(message, fields ?? {}),
    scope: name => wrap(consola.withTag(name)),
  };
}

function writeLine(process: string, entry: LogObject): void {
  const [message, fields] = entry.args as [string, Fields];
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    process,
    scope: entry.tag || undefined,
    message,
    ...fields,
  };
  globalThis.process.stderr.write(`${JSON.stringify(line)}\n`);
}
