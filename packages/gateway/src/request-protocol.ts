import type {PromptPart} from '@hollowstack/types';
import type {
  RegisteredUpstream,
  RoutedConfiguration,
} from '@hollowstack/routes';

/** Names of the headers that the gateway reads and sets, in lower case. */
export interface RequestHeaderNames {
  /** Id of one attempt of a client; every answer returns it. */
  readonly requestId: string;
  /** Milliseconds that the sender waits for the answer. */
  readonly deadlineMs: string;
  /** API key of the caller. */
  readonly callerKey: string;
  /** Name of the key's workspace, for upstreams. */
  readonly workspace: string;
  /** The only upstream that may run the request. */
  readonly targetUpstream: string;
  /** On an answer: the upstream guarantees that it has not run the request. */
  readonly notRun: string;
  /** On an answer: signature that proves that the upstream created it. */
  readonly signature: string;
  /** The parts of the prompt in order. */
  readonly promptParts: string;
  readonly priority: string;
  /** Id of the last event that the caller of a resumed stream has received. */
  readonly lastEventId: string;
  /** Id of the request whose answer brought the first event of the resumed stream. */
  readonly resumedRequestId: string;
  /** Number of pieces of each stage. */
  readonly stageCounts: string;
  /** Key from which stages without inputs compute their pieces. */
  readonly stageKey: string;
  /** Handles of the stage results that the request reads. */
  readonly stageInputs: string;
}

/** A store entry that describes no usable upstream; other programs may write there as well. */
export class UnreadableEntryError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'UnreadableEntryError';
  }
}

/** Formats of requests, configurations and registrations; an adapter defines them. */
export abstract class RequestProtocol {
  abstract readonly headers: RequestHeaderNames;
  /**
   * Names, in lower case, of all headers that only this system may send to an upstream. A
   * caller's header with such a name is dropped.
   */
  abstract readonly systemHeaders: ReadonlySet<string>;
  /** Path of the readiness probe. */
  abstract readonly probePath: string;
  /** Store prefix of all entries that operators write. */
  abstract readonly operatorPrefix: string;
  /** Store prefix under which a key named after a failure domain evacuates that domain. */
  abstract readonly evacuationPrefix: string;
  /** Store key of the newest routed configuration. */
  abstract readonly configurationKey: string;
  /** Store prefix under which upstreams register themselves. */
  abstract readonly upstreamPrefix: string;

  abstract parsePromptParts(value: string): PromptPart[];
  abstract parseStageCounts(value: string): number[];
  abstract renderStageInputs(handles: readonly string[]): string;

  /** @throws HollowstackError `configuration-invalid` with the field. */
  abstract parseConfiguration(text: string): RoutedConfiguration;

  /** Renders the value of the header targetUpstream. */
  abstract renderTargetUpstream(id: string): string;

  /** @throws UnreadableEntryError for an entry that describes no usable upstream. */
  abstract parseUpstream(key: string, text: string): RegisteredUpstream;
}
