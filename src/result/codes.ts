import {defineCode} from './code.js';

/** Results common to all components: 1000 to 1099. */
export const commonCodes = {
  ok: defineCode(1000, 'ok', 'done', 200, 'The work was done.'),
  settingsInvalid: defineCode(
    1001,
    'settings-invalid',
    'not-run',
    400,
    'The settings file is invalid. Correct the named key and start again.',
  ),
  usage: defineCode(
    1002,
    'usage',
    'not-run',
    400,
    'The command line is invalid. See `foxbarrow --help`.',
  ),
  unreachable: defineCode(
    1003,
    'unreachable',
    'unknown',
    502,
    'The other process did not answer. Check its address and whether it is running.',
  ),
} as const;
