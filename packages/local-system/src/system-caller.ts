import type {Problem} from '@hollowstack/errors';
import {
  readBody,
  readServerSentEvents,
  type HttpClient,
  type HttpHeaders,
} from '@hollowstack/transport';
import {OPERATOR_KEY} from './sample-configuration.ts';

/** An HTTP answer, parsed for the caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: HttpHeaders;
  /** The parsed JSON body; undefined if the body is empty. */
  readonly body: unknown;
  /** The problem details (`application/problem+json`), if the answer has them. */
  readonly problem: Problem | undefined;
}

/** Sends requests of callers and operators to one instance. */
export class SystemCaller {
  private readonly client: HttpClient;
  private readonly address: string;

  constructor(client: HttpClient, address: string) {
    this.client = client;
    this.address = address;
  }

  /** Sends a request and parses its JSON answer. */
  async send(
    method: string,
    path: string,
    body?: unknown,
    headers: HttpHeaders = {},
    signal: AbortSignal = new AbortController().signal,
  ): Promise<CallerAnswer> {
    const response = await this.client.send(this.address, {
      method,
      path,
      headers: {'content-type': 'application/json', ...headers},
      body: Buffer.from(body === undefined ? '' : JSON.stringify(body)),
      signal,
    });
    const text = (await readBody(response.body)).toString('utf8');
    const parsed: unknown = text === '' ? undefined : JSON.parse(text);
    const isProblem =
      response.headers['content-type'] === 'application/problem+json';
    return {
      status: response.status,
      headers: response.headers,
      body: parsed,
      problem: isProblem ? (parsed as Problem) : undefined,
    };
  }

  /** Sends a GET request and returns the answer's body as text. */
  async readText(path: string): Promise<string> {
    const response = await this.client.send(this.address, {
      method: 'GET',
      path,
      headers: {},
      body: new Uint8Array(0),
      signal: new AbortController().signal,
    });
    return (await readBody(response.body)).toString('utf8');
  }

  /** Runs a pipeline without streaming and waits for its answer. */
  runPipeline(
    workspace: string,
    pipeline: string,
    input: string,
    headers: HttpHeaders = {},
    signal?: AbortSignal,
  ): Promise<CallerAnswer> {
    const path = `/v1/workspaces/${workspace}/pipelines/${pipeline}`;
    return this.send('POST', path, {input}, headers, signal);
  }

  /**
   * Runs a pipeline and reads its stream to the end.
   *
   * @throws Error if the connection breaks before the stream ends.
   */
  async runStreamedPipeline(
    workspace: string,
    pipeline: string,
    input: string,
  ): Promise<StreamedAnswer> {
    const response = await this.client.send(this.address, {
      method: 'POST',
      path: `/v1/workspaces/${workspace}/pipelines/${pipeline}`,
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify({input, stream: true})),
      signal: new AbortController().signal,
    });
    if (response.status !== 200) {
      const text = (await readBody(response.body)).toString('utf8');
      return {text: '', end: undefined, problem: JSON.parse(text) as Problem};
    }
    return readStream(response.body);
  }

  /** Sends an operator request with the local operator key. */
  callOperator(
    method: string,
    call: string,
    body?: unknown,
  ): Promise<CallerAnswer> {
    return this.send(method, `/v1/operator/${call}`, body, {
      authorization: `Bearer ${OPERATOR_KEY}`,
    });
  }
}

/** A streamed answer, read to its end. */
export interface StreamedAnswer {
  readonly text: string;
  /** Data of the end event; undefined if the stream ended with a problem or without any event. */
  readonly end: unknown;
  readonly problem: Problem | undefined;
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
): Promise<StreamedAnswer> {
  let text = '';
  let lastEvent: unknown;
  for await (const batch of readServerSentEvents(body)) {
    for (const data of batch) {
      const parsed: unknown = JSON.parse(data);
      if (hasText(parsed)) text += parsed.text;
      else lastEvent = parsed;
    }
  }
  const isProblem =
    typeof lastEvent === 'object' && lastEvent !== null && 'kind' in lastEvent;
  return {
    text,
    end: isProblem ? undefined : lastEvent,
    problem: isProblem ? (lastEvent as Problem) : undefined,
  };
}

function hasText(value: unknown): value is {text: string} {
  return typeof value === 'object' && value !== null && 'text' in value;
}
