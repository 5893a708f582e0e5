import process from 'node:process';

/** Prints the checks of the demo and counts their results. */
export interface Checks {
  /** Prints one line; `detail` describes the actual result if it is wrong. */
  check(what: string, isRight: boolean, detail?: string): void;
  readonly failed: number;
  readonly passed: number;
}

/** Creates checks with all counts at zero. */
export function createChecks(): Checks {
  let passed = 0;
  let failed = 0;
  return {
    check(what, isRight, detail = '') {
      if (isRight) passed++;
      else failed++;
      const mark = isRight ? 'right' : 'WRONG';
      const suffix = isRight || detail === '' ? '' : ` (${detail})`;
      process.stdout.write(`  ${mark}  ${what}${suffix}\n`);
    },
    get failed() {
      return failed;
    },
    get passed() {
      return passed;
    },
  };
}
