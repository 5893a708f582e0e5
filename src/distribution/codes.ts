import {defineCode} from '../result/code.js';

/** Result codes of distribution: 4000 to 4999. */
export const distributionCodes = {
  digestMismatch: defineCode(
    4001,
    'digest-mismatch',
    'not-run',
    500,
    'A pushed state did not have the digest it came with. The old version serves and the sections that differ were asked for.',
  ),
  badReference: defineCode(
    4002,
    'bad-reference',
    'not-run',
    500,
    'A pushed state had a route without its service or policy. The old version serves and the sections that differ were asked for.',
  ),
  noProof: defineCode(
    4003,
    'no-proof',
    'not-run',
    503,
    'No quorum answered in time. Look at the control group and the links to it.',
  ),
  malformed: defineCode(
    4004,
    'malformed-section',
    'not-run',
    500,
    'A pushed section could not be unpacked. The old version serves and the sections that differ were asked for.',
  ),
} as const;
