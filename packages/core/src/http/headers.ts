/** Names of the HTTP headers that orioleslip reads or writes, in lower case. */
export const HEADERS = {
  customer: 'orioleslip-customer',
  timeoutMs: 'orioleslip-timeout-ms',
  outcome: 'orioleslip-outcome',
  requestId: 'orioleslip-request-id',
  idempotencyKey: 'idempotency-key',
  traceparent: 'traceparent',
  retryAfter: 'retry-after',
  rateLimit: 'orioleslip-rate-limit',
  leaving: 'orioleslip-leaving'
} as const

/** Path prefix of the node's own endpoints on the caller listener (RFC 8615). */
export const WELL_KNOWN_PREFIX = '/.well-known/orioleslip/'

// RFC 9110, section 7.6.1: headers that apply to one connection only.
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host',
  'proxy-authenticate', 'proxy-authorization'])

/** Copies raw header pairs without the hop-by-hop ones and those named by `Connection`. Returned names are in lower case. */
export function endToEndHeaders (raw: readonly string[]): string[] {
  const named = new Set<string>()
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() === 'connection') {
      for (const token of raw[i + 1]!.split(',')) named.add(token.trim().toLowerCase())
    }
  }
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase()
    if (!HOP_BY_HOP.has(name) && !named.has(name)) kept.push(name, raw[i + 1]!)
  }
  return kept
}

/** Value of the first header with this lower-case name in raw pairs. */
export function headerValue (raw: readonly string[], name: string): string | undefined {
  for (let i = 0; i + 1 < raw.length; i += 2) if (raw[i]!.toLowerCase() === name) return raw[i + 1]
  return undefined
}
