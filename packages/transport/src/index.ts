/** HTTP requests and answers as data, with a client and a server over Node's http. */
export {
  HttpClient,
  TransportError,
  UnusedConnectionError,
  createTextBody,
  readBody,
  readJson,
  sendJson,
  createJsonResponse,
  type HttpHandler,
  type HttpHeaders,
  type HttpRequest,
  type HttpResponse,
  type SendProgress,
} from './http-exchange.ts';
export {
  AnswerLimitError,
  findExceededLimit,
  type AnswerLimit,
} from './answer-limit-error.ts';
export {MemoryBudget, type MemoryReservation} from './memory-budget.ts';
export {
  CALLER_CHECK_INTERVAL_MS,
  CallerGuard,
  type SurplusKind,
} from './caller-guard.ts';
export {IdleConnections} from './idle-connections.ts';
export {NodeHttpClient} from './node-http-client.ts';
export {
  NodeHttpServer,
  DEFAULT_SERVER_LIMITS,
  type HttpServerLimits,
} from './node-http-server.ts';
export {
  AnswerTimeoutError,
  SingleCall,
  callForWholeAnswer,
  isConnectionLost,
  isConnectionRefused,
  isPathError,
  readWholeBody,
  type SentRequest,
  type SingleCallRequest,
  type WholeAnswer,
  type WholeBodyLimits,
  type WholeCallLimits,
  type WholeCallParts,
} from './single-call.ts';
export {
  ConnectTimeoutError,
  Connector,
  DirectConnector,
  NoPathError,
  type ConnectTarget,
  type Connection,
} from './connector.ts';
export {checkConnection, type ConnectionState} from './check-connection.ts';
export {hasBearerKey} from './bearer-key.ts';
export {readServerSentEvents, encodeServerSentEvent} from './event-stream.ts';
export {readLines} from './line-stream.ts';
export {AsyncQueue} from './async-queue.ts';
