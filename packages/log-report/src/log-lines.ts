import {HollowstackError} from '@hollowstack/errors';
import {z} from 'zod';

const settledSchema = z.object({
  name: z.literal('request.settled'),
  time: z.string(),
  route: z.string(),
  service: z.string(),
  outcome: z.string(),
  reason: z.string().default(''),
  tookMs: z.number(),
  firstMs: z.number().optional(),
  objectiveMs: z.number(),
});
/** Log line of a request that has ended. */
export type SettledLine = z.infer<typeof settledSchema>;

const stageCallSchema = z.object({
  name: z.literal('stage.call'),
  time: z.string(),
  service: z.string(),
  upstream: z.string(),
  items: z.number(),
  tookMs: z.number(),
  noRoom: z.number(),
  inputGone: z.number(),
});
/** Log line of a call to an upstream of a stage service. */
export type StageCallLine = z.infer<typeof stageCallSchema>;

const lineSchema = z.discriminatedUnion('name', [
  settledSchema,
  stageCallSchema,
]);

/** The lines of a log that reports are made from. */
export interface ParsedLog {
  readonly settled: readonly SettledLine[];
  readonly stageCalls: readonly StageCallLine[];
  /** Number of lines that are not log lines or are truncated. */
  readonly unreadableCount: number;
}

/**
 * Parses a log of JSON lines, each possibly after a prefix added by a log collector.
 *
 * @param path Shown in errors.
 * @throws HollowstackError `bad-request` if no line can be parsed.
 */
export function parseLog(text: string, path: string): ParsedLog {
  const settled: SettledLine[] = [];
  const stageCalls: StageCallLine[] = [];
  let unreadableCount = 0;
  let readCount = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const content = parseObject(line);
    if (content === undefined) {
      unreadableCount += 1;
      continue;
    }
    readCount += 1;
    const parsed = lineSchema.safeParse(content);
    if (!parsed.success) continue;
    if (parsed.data.name === 'request.settled') settled.push(parsed.data);
    else stageCalls.push(parsed.data);
  }
  if (readCount > 0) return {settled, stageCalls, unreadableCount};
  throw new HollowstackError(
    'bad-request',
    `${path} holds no log line of hollowstack; give a file with its JSON lines`,
  );
}

function parseObject(line: string): unknown {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start));
  } catch {
    // The caller counts such lines: a log may end in the middle of a line.
    return undefined;
  }
}
