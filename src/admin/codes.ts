import {defineCode} from '../result/code.js';

/** Results of administration and reports: 8000 to 8999. */
export const adminCodes = {
  actionUnknown: defineCode(
    8001,
    'action-unknown',
    'not-run',
    404,
    'The admin listener has no such action. See docs/operators for the list.',
  ),
  samplesUnusable: defineCode(
    8002,
    'samples-unusable',
    'not-run',
    400,
    'The samples file is not usable. Name another file, or move it away.',
  ),
  scrapeFailed: defineCode(
    8003,
    'scrape-failed',
    'not-run',
    502,
    'No node gave its metrics. Check the admin addresses and that nodes run.',
  ),
  objectivesMissing: defineCode(
    8004,
    'objectives-missing',
    'not-run',
    400,
    'No policy with an objective was found. Name control or an objectives file.',
  ),
  upstreamError: defineCode(
    8005,
    'upstream-error',
    'unknown',
    500,
    "The upstream's own answer was an error of its side (5xx). Counted in metrics; look at the upstream.",
  ),
  answerCut: defineCode(
    8006,
    'answer-cut',
    'unknown',
    502,
    'The answer had begun and ended visibly short. Counted in metrics; look at the upstream and the links to it.',
  ),
} as const;
