/** Every kind of error that a caller or an operator can receive. */
export const ERROR_KINDS = [
  'bad-request',
  'unauthorized',
  'not-found',
  'payload-too-large',
  'key-reused',
  'answer-not-kept',
  'configuration-invalid',
  'configuration-conflict',
  'configuration-behind',
  'workspace-limit',
  'overloaded',
  'deadline-unreachable',
  'deadline-exceeded',
  'draining',
  'not-ready',
  'store-unavailable',
  'store-restored',
  'request-quarantined',
  'upstream-unavailable',
  'stream-not-resumable',
  'upstream-failed',
  'outcome-unknown',
  'caller-gone',
  'peer-refused',
  'internal',
] as const;

/** One kind of error. */
export type ErrorKind = (typeof ERROR_KINDS)[number];

/** Whether the request ran; `no` only if no part of it can have started. */
export type RunStatus = 'no' | 'yes' | 'unknown';
