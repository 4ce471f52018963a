import {HollowstackError} from '@hollowstack/errors';
import type {HttpRequest} from '@hollowstack/transport';
import type {z} from 'zod';

/**
 * Reads a JSON body and validates it against a schema.
 *
 * @throws HollowstackError `bad-request` that names the invalid property.
 */
export function readJsonBody<Schema extends z.ZodType>(
  request: HttpRequest,
  schema: Schema,
  maxDepth: number,
): z.infer<Schema> {
  const text = Buffer.from(request.body).toString('utf8');
  rejectDeepNesting(text, maxDepth);
  const parsed = schema.safeParse(parseJson(text));
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const location = issue.path.join('.') || 'body';
  throw new HollowstackError('bad-request', `${location}: ${issue.message}`);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new HollowstackError('bad-request', `malformed JSON: ${message}`);
  }
}

// Counts the depth on the text, before parsing, because the parser recurses.
function rejectDeepNesting(text: string, maxDepth: number): void {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const character = text[index];
    if (isInString) {
      if (character === '\\') index += 1;
      else if (character === '"') isInString = false;
    } else if (character === '"') {
      isInString = true;
    } else if (character === '{' || character === '[') {
      depth += 1;
      if (depth > maxDepth) {
        throw new HollowstackError(
          'bad-request',
          `JSON is nested deeper than ${maxDepth}`,
        );
      }
    } else if (character === '}' || character === ']') {
      depth -= 1;
    }
  }
}
