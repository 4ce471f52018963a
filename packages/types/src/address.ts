import {z} from 'zod';

/** An IP address and a port. Host names are rejected: instances do not resolve names. */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'write an IP number and a port, such as 10.0.0.7:8080',
  );

/** Splits an address into host (an IPv6 host without its brackets) and port. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
