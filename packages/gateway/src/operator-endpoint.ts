import {HollowstackError, createProblem} from '@hollowstack/errors';
import {
  computeVerdictKey,
  type SuspectPartTable,
  type SuspectTable,
} from '@hollowstack/quarantine';
import {hasBearerKey} from '@hollowstack/transport';
import type {LimitTable} from '@hollowstack/upstream-limits';

/** Path prefix of operator calls. */
export const OPERATOR_PATH = '/v1/operator/';

/** A call of an operator. */
export interface OperatorCall {
  readonly method: string;
  readonly path: string;
  /** Value of the `Authorization` header. */
  readonly authorization: string | undefined;
}

/** Answer to an operator call; `text` is JSON. */
export interface OperatorAnswer {
  readonly status: number;
  readonly text: string;
}

/** Dependencies of OperatorEndpoint. */
export interface OperatorEndpointParts {
  readonly suspects: Pick<SuspectTable, 'listVerdicts' | 'releaseRequest'>;
  readonly suspectParts: Pick<
    SuspectPartTable,
    'listVerdicts' | 'releaseVerdict'
  >;
  readonly limits: Pick<LimitTable, 'listLimited'>;
  /** Accepted bearer tokens; without any, all calls are rejected. */
  readonly keys: readonly string[];
}

const QUARANTINE = 'quarantine';
const LIMITS = 'limits';
/** HTTP status. */
const OK = 200;

/** Answers the calls of operators to a gateway. */
export class OperatorEndpoint {
  private readonly parts: OperatorEndpointParts;

  constructor(parts: OperatorEndpointParts) {
    this.parts = parts;
  }

  /** Answers a call; a HollowstackError becomes an answer, any other error is thrown. */
  answerCall(call: OperatorCall): OperatorAnswer {
    try {
      this.checkKey(call);
      return {status: OK, text: JSON.stringify(this.runCall(call))};
    } catch (error) {
      if (!(error instanceof HollowstackError)) throw error;
      const problem = createProblem(error, '');
      return {status: problem.status, text: JSON.stringify(problem)};
    }
  }

  private checkKey({authorization}: OperatorCall): void {
    const {keys} = this.parts;
    if (hasBearerKey(authorization, keys)) return;
    throw new HollowstackError(
      'unauthorized',
      keys.length === 0
        ? 'this gateway takes no operator calls: set operators.keys in its settings'
        : 'operator key is not known',
    );
  }

  private runCall({method, path}: OperatorCall): object {
    const {suspects, suspectParts, limits} = this.parts;
    const [name, fingerprint] = path.slice(OPERATOR_PATH.length).split('/');
    if (name === QUARANTINE && fingerprint === undefined && method === 'GET') {
      const parts = suspectParts
        .listVerdicts()
        .map(verdict => ({key: computeVerdictKey(verdict), ...verdict}));
      return {requests: suspects.listVerdicts(), parts};
    }
    if (name === LIMITS && fingerprint === undefined && method === 'GET') {
      return {limits: limits.listLimited()};
    }
    if (name === QUARANTINE && fingerprint && method === 'DELETE') {
      const isReleased =
        suspects.releaseRequest(fingerprint) ||
        suspectParts.releaseVerdict(fingerprint);
      if (isReleased) return {released: fingerprint};
      throw new HollowstackError(
        'not-found',
        `no quarantined request or prompt part ${fingerprint}; list them with: hollowstack quarantine list`,
      );
    }
    throw new HollowstackError('not-found', `no call ${method} ${path}`);
  }
}
