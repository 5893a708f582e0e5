import {readFile} from 'node:fs/promises';
import type {ZodIssue} from 'zod';
import {commonCodes} from '../result/codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {findClash} from './clashes.js';
import {settingsSchema} from './schema.js';
import type {Settings} from './schema.js';

/** Reads, checks and completes a settings file; a failure is one clear line. */
export async function resolveSettings(file: string): Promise<Result<Settings>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch {
    return invalid(file, 'cannot be read; give the path of a JSON file');
  }
  return parseSettings(file, text);
}

/** Checks settings given as JSON text; `file` names them in messages. */
export function parseSettings(file: string, text: string): Result<Settings> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return invalid(file, `is not JSON: ${(error as Error).message}`);
  }
  const parsed = settingsSchema.safeParse(raw);
  if (!parsed.success) return invalid(file, describe(parsed.error.issues[0]!));
  const clash = findClash(parsed.data);
  if (clash !== undefined) return invalid(file, clash);
  return success(parsed.data);
}

function invalid(file: string, problem: string): Result<never> {
  return failure(commonCodes.settingsInvalid, `${file}: ${problem}`);
}

function describe(issue: ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    const path = [...issue.path, issue.keys[0]!].join('.');
    return `${path}: unknown key; remove it or see docs/SETTINGS.md`;
  }
  const path = issue.path.join('.') || 'the file';
  return `${path}: ${issue.message}`;
}
