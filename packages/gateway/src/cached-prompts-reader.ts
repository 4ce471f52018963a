import type {EngineDirectory} from '@hollowstack/assignment';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {
  callForWholeAnswer,
  type Connector,
  type MemoryBudget,
} from '@hollowstack/transport';
import {
  toAnswerHead,
  type UpstreamSignals,
} from '@hollowstack/upstream-signals';
import type {EngineProtocol} from './engine-protocol.ts';

/** Dependencies of CachedPromptsReader. */
export interface CachedPromptsReaderParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly connector: Connector;
  readonly memory: MemoryBudget;
  readonly directory: EngineDirectory;
  readonly protocol: EngineProtocol;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  /** Returns whether an engine is neither leaving, backing off nor rate-limited. */
  readonly mayAsk: (engineId: string) => boolean;
}

/** Milliseconds for establishing a connection to an engine; about a hundred round trips. */
const CONNECT_TIMEOUT_MS = 300;
/** Milliseconds for the complete list; no request waits for it. */
const ANSWER_TIMEOUT_MS = 1000;
/** Maximum size of a list in bytes; some 50,000 parts. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/**
 * Reads the prompt cache of each engine once, when this instance begins to assign requests
 * as coordinator: the state of the previous coordinator may be lost.
 */
export class CachedPromptsReader {
  private readonly parts: CachedPromptsReaderParts;
  private readonly queriedIds = new Set<string>();

  constructor(parts: CachedPromptsReaderParts) {
    this.parts = parts;
  }

  /**
   * Queries the engines of a service that were not queried yet, without waiting for their
   * answers. Engines that may not be queried now are queried by a later call.
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
    const {clock, connector, memory, logger, directory, protocol, signals} =
      this.parts;
    const {id, address} = engine;
    const request = protocol.createCacheContentsRequest(address);
    const sentAtMs = clock.getNow();
    try {
      const {head, body} = await callForWholeAnswer(
        {
          address,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          createRequest: () => request,
        },
        {clock, connector, memory},
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
    } catch (error) {
      // Without an answer the cache counts as empty, which only costs repeated prefills.
      const reason = error instanceof Error ? error.message : String(error);
      logger.logEvent('engine.unread', {upstream: id, reason});
    }
  }
}
