import {readFileSync} from 'node:fs';
import {HollowstackError} from '@hollowstack/errors';

/** Reads a file as UTF-8. @throws HollowstackError `bad-request` that names the path. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new HollowstackError('bad-request', `cannot read ${path}: ${reason}`);
  }
}
