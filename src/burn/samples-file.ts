import {readFile, rename, writeFile} from 'node:fs/promises';
import {z} from 'zod';
import {adminCodes} from '../admin/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {noSamples} from './samples.js';
import type {Samples} from './samples.js';

const countSchema = z.object({
  service: z.string(),
  policy: z.string(),
  code: z.number(),
  verdict: z.enum(['good', 'slow', 'failed']),
  count: z.number().nonnegative(),
});

const samplesSchema = z
  .object({
    scrapes: z.array(
      z.object({
        node: z.string(),
        started: z.number(),
        counts: z.array(countSchema),
      }),
    ),
    time: z.number(),
    intervals: z.array(
      z.object({
        from: z.number(),
        to: z.number(),
        counts: z.array(countSchema),
      }),
    ),
  })
  .strict();

/**
 * Reads a samples file; a missing file gives no samples, an invalid one a
 * failure.
 */
export async function readSamples(file: string): Promise<Result<Samples>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
      return success(noSamples);
    }
    return samplesUnusable(file, (error as Error).message);
  }
  try {
    return success(samplesSchema.parse(JSON.parse(text)));
  } catch {
    return samplesUnusable(file, 'it is not a samples file of foxbarrow');
  }
}

/**
 * Replaces a samples file atomically: an interrupted write leaves the old file.
 */
export async function writeSamples(
  file: string,
  content: Samples,
): Promise<void> {
  const newFile = `${file}.new`;
  await writeFile(newFile, `${JSON.stringify(content)}\n`);
  await rename(newFile, file);
}

function samplesUnusable(file: string, problem: string): Result<never> {
  return failure(
    adminCodes.samplesUnusable,
    `${file}: ${problem}; name another file with --samples`,
  );
}
