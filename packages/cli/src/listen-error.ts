import {HollowstackError} from '@hollowstack/errors';

/** What the system says of an address that cannot be listened at, and what to do. */
const ADVICE_BY_CODE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'another process listens there: stop it, or set another address',
  EADDRNOTAVAIL: 'this machine has no such address: set one that it has',
  EACCES: 'this user may not use the port: set one above 1023',
};

/** Makes of a failure to listen an error that names the address and the next step. */
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
