import process from 'node:process';

/** Counts what was asked and what came out right. */
export interface Checks {
  /** Prints one line; `detail` tells what came instead when it is wrong. */
  check(what: string, isRight: boolean, detail?: string): void;
  readonly failed: number;
  readonly passed: number;
}

/** Creates the tally of a demo. */
export function createChecks(): Checks {
  let passed = 0;
  let failed = 0;
  return {
    check(what, isRight, detail = '') {
      if (isRight) passed++;
      else failed++;
      const mark = isRight ? 'right' : 'WRONG';
      const more = isRight || detail === '' ? '' : ` (${detail})`;
      process.stdout.write(`  ${mark}  ${what}${more}\n`);
    },
    get failed() {
      return failed;
    },
    get passed() {
      return passed;
    },
  };
}
