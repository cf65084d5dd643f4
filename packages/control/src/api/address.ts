import { isIPv6 } from 'node:net'

/** `address:port`, with brackets around IPv6 addresses. */
export function toAuthority (address: string, port: number): string {
  return isIPv6(address) ? `[${address}]:${port}` : `${address}:${port}`
}
