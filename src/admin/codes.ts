import {defineCode} from '../result/code.js';

/** Result codes of administration and reports: 8000 to 8999. */
export const adminCodes = {
  actionUnknown: defineCode(
    8001,
    'action-unknown',
    'not-run',
    404,
    'The admin listener has no such action. See docs/operators for the list of actions.',
  ),
  samplesUnusable: defineCode(
    8002,
    'samples-unusable',
    'not-run',
    400,
    "The samples file can't be used. Give another file, or move this one away.",
  ),
  scrapeFailed: defineCode(
    8003,
    'scrape-failed',
    'not-run',
    502,
    'No node returned its metrics. Check the admin addresses, and that the nodes are running.',
  ),
  objectivesMissing: defineCode(
    8004,
    'objectives-missing',
    'not-run',
    400,
    'No policy with an objective was found. Give a control process or an objectives file.',
  ),
  upstreamError: defineCode(
    8005,
    'upstream-error',
    'unknown',
    500,
    'The upstream answered with a server error (5xx). Used in metrics only; check the upstream.',
  ),
  answerCut: defineCode(
    8006,
    'answer-cut',
    'unknown',
    502,
    'The answer was cut off after it had begun. Used in metrics only; check the upstream and the network links to it.',
  ),
} as const;
