import type {Fields, Level, Log, WriteLine} from '../log.js';

/** A logged line. */
export interface RecordedLine {
  readonly level: Level;
  readonly scope?: string;
  readonly message: string;
  readonly fields: Fields;
}

/** A log that records its lines for a test. */
export interface RecordedLog {
  readonly log: Log;
  readonly lines: RecordedLine[];
  /** The messages, in order. */
  messages(): string[];
}

/** Creates a log that records every line. */
export function createRecordedLog(): RecordedLog {
  const lines: RecordedLine[] = [];

  function scoped(scope?: string): Log {
    const write =
      (level: Level): WriteLine =>
      (message, fields = {}) => {
        const where = scope === undefined ? {} : {scope};
        lines.push({level, ...where, message, fields});
      };
    return {
      error: write('error'),
      warn: write('warn'),
      info: write('info'),
      debug: write('debug'),
      scope: scoped,
    };
  }

  return {
    log: scoped(),
    lines,
    messages: () => lines.map(line => line.message),
  };
}
