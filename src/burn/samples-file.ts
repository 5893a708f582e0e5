import {readFile, rename, writeFile} from 'node:fs/promises';
import {z} from 'zod';
import {adminCodes} from '../admin/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {noSamples} from './samples.js';
import type {Samples} from './samples.js';

const count = z.object({
  service: z.string(),
  policy: z.string(),
  code: z.number(),
  verdict: z.enum(['good', 'slow', 'failed']),
  count: z.number().nonnegative(),
});

const samples = z
  .object({
    scrapes: z.array(
      z.object({
        node: z.string(),
        started: z.number(),
        counts: z.array(count),
      }),
    ),
    time: z.number(),
    intervals: z.array(
      z.object({from: z.number(), to: z.number(), counts: z.array(count)}),
    ),
  })
  .strict();

/** Reads a samples file; a missing one is empty, a broken one is refused. */
export async function readSamples(file: string): Promise<Result<Samples>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
      return success(noSamples);
    }
    return unusable(file, (error as Error).message);
  }
  try {
    return success(samples.parse(JSON.parse(text)));
  } catch {
    return unusable(file, 'it is no samples file of this program');
  }
}

/** Replaces a samples file as a whole: an interrupted write leaves the old one. */
export async function writeSamples(
  file: string,
  content: Samples,
): Promise<void> {
  const fresh = `${file}.new`;
  await writeFile(fresh, `${JSON.stringify(content)}\n`);
  await rename(fresh, file);
}

function unusable(file: string, problem: string): Result<never> {
  return failure(
    adminCodes.samplesUnusable,
    `${file}: ${problem}; name another file with --samples`,
  );
}
