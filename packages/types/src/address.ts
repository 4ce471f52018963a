import {z} from 'zod';

/** An IP number and a port; names are not taken, because instances know none. */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'write an IP number and a port, such as 10.0.0.7:8080',
  );

/** Splits an address into what sockets take. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
