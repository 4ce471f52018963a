import type {PromptPart} from '@hollowstack/types';
import type {
  RegisteredUpstream,
  RoutedConfiguration,
} from '@hollowstack/routes';

/** Names of the headers that the gateway reads and sets, in small letters. */
export interface RequestHeaderNames {
  /** Names one client attempt; every answer carries it back. */
  readonly requestId: string;
  /** Milliseconds that the sender will wait. */
  readonly deadlineMs: string;
  /** The key a caller presents. */
  readonly callerKey: string;
  /** The workspace of the key, for upstreams. */
  readonly workspace: string;
  /** The upstream that alone may run the request. */
  readonly targetUpstream: string;
  /** On an answer: the upstream has not run the request. */
  readonly notRun: string;
  /** On an answer: what proves that it is the upstream's own. */
  readonly signature: string;
  /** The parts of the prompt in their order. */
  readonly promptParts: string;
  readonly priority: string;
  /** The last event a resumed stream has. */
  readonly lastEventId: string;
  /** Pieces of each stage. */
  readonly stageCounts: string;
  /** What the pieces of stages without inputs are made from. */
  readonly stageKey: string;
  /** Handles of the results that the request reads. */
  readonly stageInputs: string;
}

/** An entry of the store that names no upstream to use; others may write there too. */
export class UnreadableEntryError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'UnreadableEntryError';
  }
}

/** How requests, configuration and registrations are written; an adapter gives names and formats. */
export abstract class RequestProtocol {
  abstract readonly headers: RequestHeaderNames;
  /**
   * Names, in small letters, of all headers that only this system may send to
   * an upstream. A caller's header of that name is dropped.
   */
  abstract readonly systemHeaders: ReadonlySet<string>;
  /** Path at which the balancer asks whether this instance is ready. */
  abstract readonly probePath: string;
  /** Store prefix of everything that operators write. */
  abstract readonly operatorPrefix: string;
  /** Below it, a key named after a failure domain evacuates that domain. */
  abstract readonly evacuationPrefix: string;
  /** Store key of the newest routed configuration. */
  abstract readonly configurationKey: string;
  /** Store prefix under which upstreams register themselves. */
  abstract readonly upstreamPrefix: string;

  abstract parsePromptParts(value: string): PromptPart[];
  abstract parseStageCounts(value: string): number[];
  abstract renderStageInputs(handles: readonly string[]): string;

  /** @throws HollowstackError `configuration-invalid` with the place. */
  abstract parseConfiguration(text: string): RoutedConfiguration;

  /** Renders the upstream that alone may run a request, for the header. */
  abstract renderTargetUpstream(id: string): string;

  /** @throws UnreadableEntryError for an entry that names no upstream to use. */
  abstract parseUpstream(key: string, text: string): RegisteredUpstream;
}
