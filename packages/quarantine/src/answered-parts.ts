import type {Clock} from '@hollowstack/clock';

/** Milliseconds for which an answer shows that a part crashes no upstream. */
const ANSWER_VALID_MS = 60_000;
/** Maximum number of parts; those answered longest ago are evicted first. */
const MAX_PARTS = 8192;

/** The prompt parts of requests that upstreams have answered lately. */
export class AnsweredParts {
  private readonly clock: Pick<Clock, 'getNow'>;
  /** When each part was last answered, by key, the oldest first. */
  private readonly answeredAtMs = new Map<string, number>();

  constructor(clock: Pick<Clock, 'getNow'>) {
    this.clock = clock;
  }

  /** Records that an upstream answered a request with a part. */
  recordAnswer(service: string, part: string, atMs: number): void {
    const key = createKey(service, part);
    const knownMs = this.answeredAtMs.get(key) ?? -Infinity;
    this.answeredAtMs.delete(key);
    this.answeredAtMs.set(key, Math.max(knownMs, atMs));
    if (this.answeredAtMs.size <= MAX_PARTS) return;
    const [oldest] = this.answeredAtMs.keys();
    this.answeredAtMs.delete(oldest);
  }

  /** Returns when a part was last answered; undefined if that is too long ago. */
  findAnswerMs(service: string, part: string): number | undefined {
    const atMs = this.answeredAtMs.get(createKey(service, part));
    if (atMs === undefined) return undefined;
    return this.clock.getNow() - atMs <= ANSWER_VALID_MS ? atMs : undefined;
  }
}

function createKey(service: string, part: string): string {
  return JSON.stringify([service, part]);
}
