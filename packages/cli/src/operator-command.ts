import {
  HollowstackError,
  type ErrorKind,
  type Problem,
  ERROR_KINDS,
} from '@hollowstack/errors';
import {
  NodeHttpClient,
  TransportError,
  readBody,
  type HttpResponse,
} from '@hollowstack/transport';
import {Option} from 'clipanion';
import {ReportingCommand} from './reporting-command.ts';

const DEFAULT_ADDRESS = '127.0.0.1:8080';
const KEY_VARIABLE = 'HOLLOWSTACK_OPERATOR_KEY';
/** Time-out for an operator's call; high enough for a publish to a slow store. */
const TIMEOUT_MS = 30_000;
const OK_STATUS = 200;

/** A command that calls the operator API of a running instance. */
export abstract class OperatorCommand extends ReportingCommand {
  address = Option.String('--entry', DEFAULT_ADDRESS, {
    description: 'IP address and port of any instance',
  });
  key = Option.String('--key', {
    env: KEY_VARIABLE,
    description: `operator key; defaults to ${KEY_VARIABLE}`,
  });
  json = Option.Boolean('--json', false, {
    description: 'print JSON for scripts',
  });

  /**
   * Sends an operator's call and resolves to its parsed answer.
   *
   * @throws HollowstackError `not-ready` if no answer arrives; for an error answer, of its
   *   kind.
   */
  protected async callInstance(
    method: string,
    call: string,
    body?: unknown,
  ): Promise<unknown> {
    const client = new NodeHttpClient();
    try {
      const response = await client.send(this.address, {
        method,
        path: `/v1/operator/${call}`,
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${this.getKey()}`,
        },
        body: Buffer.from(body === undefined ? '' : JSON.stringify(body)),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      return await readAnswer(response);
    } catch (error) {
      if (!(error instanceof TransportError)) throw error;
      throw new HollowstackError(
        'not-ready',
        `no answer from ${this.address}: ${error.message}; name a running instance with --entry`,
      );
    } finally {
      client.close();
    }
  }

  private getKey(): string {
    if (this.key) return this.key;
    throw new HollowstackError(
      'unauthorized',
      `no operator key: give --key or set ${KEY_VARIABLE}`,
    );
  }
}

async function readAnswer(response: HttpResponse): Promise<unknown> {
  const text = (await readBody(response.body)).toString('utf8');
  const answer: unknown = JSON.parse(text);
  if (response.status === OK_STATUS) return answer;
  const problem = answer as Partial<Problem>;
  const kind: ErrorKind =
    ERROR_KINDS.find(known => known === problem.kind) ?? 'internal';
  const action = problem.action === undefined ? '' : `\n${problem.action}`;
  throw new HollowstackError(kind, (problem.detail ?? text) + action);
}
