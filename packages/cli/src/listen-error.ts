import {HollowstackError} from '@hollowstack/errors';

/** Cause and next step for each error code of a failed listen call. */
const ADVICE_BY_CODE: Readonly<Record<string, string>> = {
  EADDRINUSE:
    'another process is listening there: stop it, or set another address',
  EADDRNOTAVAIL: 'this machine has no such address: set one that it has',
  EACCES: 'this user is not allowed to use the port: set one above 1023',
};

/**
 * Converts a failed listen call into an error that names the address and the next step.
 * Other errors are returned as they are.
 */
export function toListenError(error: unknown): unknown {
  if (!(error instanceof Error)) return error;
  const {
    code = '',
    address,
    port,
  } = error as NodeJS.ErrnoException & {
    address?: string;
    port?: number;
  };
  const advice = ADVICE_BY_CODE[code];
  if (advice === undefined) return error;
  return new HollowstackError(
    'configuration-invalid',
    `cannot listen at ${address}:${port}: ${advice}`,
    {cause: error},
  );
}
