import type {EngineDirectory} from '@hollowstack/assignment';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {callForWholeAnswer} from '@hollowstack/transport';
import {
  toAnswerHead,
  type UpstreamSignals,
} from '@hollowstack/upstream-signals';
import type {EngineProtocol} from './engine-protocol.ts';

/** What the reader works with. */
export interface CachedPromptsReaderParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly directory: EngineDirectory;
  readonly protocol: EngineProtocol;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  /** Returns whether an engine neither leaves nor wants to be left alone. */
  readonly mayAsk: (engineId: string) => boolean;
}

/**
 * Milliseconds for a connection to an engine to stand; some hundred round
 * trips.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Milliseconds for the whole list; nobody waits for it. */
const ANSWER_TIMEOUT_MS = 1000;
/** Bytes of a list, at most; some 50,000 parts. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/**
 * Asks each engine once what it keeps, when this instance begins to assign
 * requests: whoever did so before may be gone with what it knew.
 */
export class CachedPromptsReader {
  private readonly parts: CachedPromptsReaderParts;
  private readonly queriedIds = new Set<string>();

  constructor(parts: CachedPromptsReaderParts) {
    this.parts = parts;
  }

  /**
   * Asks the engines of a service that were not asked yet; does not wait for them. One
   * that wants no work now is asked later.
   */
  readCachedPrompts(service: string): void {
    for (const engine of this.parts.directory.listEngines(service)) {
      if (this.queriedIds.has(engine.id) || !this.parts.mayAsk(engine.id))
        continue;
      this.queriedIds.add(engine.id);
      void this.readEngine(engine);
    }
  }

  private async readEngine(engine: RegisteredUpstream): Promise<void> {
    const {clock, logger, directory, protocol, signals} = this.parts;
    const {id, address} = engine;
    const request = protocol.createCacheContentsRequest(address);
    const sentAtMs = clock.getNow();
    try {
      const {head, body} = await callForWholeAnswer(
        {...request, address, connectTimeoutMs: CONNECT_TIMEOUT_MS},
        clock,
        {timeoutMs: ANSWER_TIMEOUT_MS, maxBytes: MAX_ANSWER_BYTES},
      );
      signals.recordAnswer({
        upstream: engine,
        head: toAnswerHead(head),
        requestId: undefined,
        sentAtMs,
      });
      if (head.statusCode !== 200) return;
      const cachedParts = protocol.parseCacheContents(body.toString('utf8'));
      directory.recordCachedParts(id, cachedParts);
      logger.logEvent('engine.kept', {upstream: id, parts: cachedParts.length});
    } catch {
      // Without the answer the engine counts as empty, which costs reading only.
    }
  }
}
