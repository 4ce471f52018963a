import {HollowstackError} from '@hollowstack/errors';
import {TomlError, parse} from 'smol-toml';
import type {z} from 'zod';
import {checkRenamedSettings} from './renamed-settings.ts';

/**
 * Parses TOML and validates it against a schema.
 *
 * @param path Shown in errors.
 * @throws HollowstackError `configuration-invalid` with the path and the line or key.
 */
export function parseTomlFile<Schema extends z.ZodType>(
  text: string,
  path: string,
  schema: Schema,
): z.infer<Schema> {
  const parsed = schema.safeParse(parseToml(text, path));
  if (parsed.success) return parsed.data;
  throw createSchemaError(path, '', parsed.error);
}

/**
 * Parses TOML without a schema.
 *
 * @throws HollowstackError `configuration-invalid` with the line, or with the current
 * name of a renamed setting.
 */
export function parseToml(text: string, path: string): unknown {
  try {
    const content = parse(text);
    checkRenamedSettings(content, path);
    return content;
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = error.message.split('\n')[0];
    throw new HollowstackError(
      'configuration-invalid',
      `${path}:${error.line}:${error.column}: ${reason}`,
      {cause: error},
    );
  }
}

/**
 * Creates the error for content that does not match a schema, with one line per issue.
 *
 * @param place Key path of the content in the file; empty for the top level.
 */
export function createSchemaError(
  path: string,
  place: string,
  error: z.ZodError,
): HollowstackError {
  const lines = error.issues.map(issue => {
    const keyPath = [place, ...issue.path]
      .filter(part => part !== '')
      .join('.');
    return `${path}: ${keyPath || 'top level'}: ${issue.message}`;
  });
  return new HollowstackError('configuration-invalid', lines.join('\n'), {
    cause: error,
  });
}
