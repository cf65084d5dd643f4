import type { Chain } from './operations.js'

type ServiceResponse = { service?: unknown, requestId?: unknown, path?: unknown, downstream?: unknown }

/** Result for a response with status 200: `incomplete` means that services are missing, `foreign` that it belongs to another request. */
export type ResponseCheck = 'complete' | 'incomplete' | 'foreign'

/** Checks that a response names every service of the chain and belongs to the request for `path`. */
export function checkResponse (text: string, chain: Chain, path: string): ResponseCheck {
  const response = parseResponse(text)
  if (response === undefined || !hasChain(response, chain)) return 'incomplete'
  return response.path === path && isFromRequest(response, response.requestId) ? 'complete' : 'foreign'
}

function parseResponse (text: string): ServiceResponse | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    return undefined
  }
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null
}

function downstreamOf (response: ServiceResponse): ServiceResponse[] {
  return Array.isArray(response.downstream) ? response.downstream.filter(isObject) : []
}

function hasChain (response: ServiceResponse, chain: Chain): boolean {
  const downstream = downstreamOf(response)
  return response.service === chain.service && downstream.length === chain.downstream.length &&
    chain.downstream.every((expected, i) => hasChain(downstream[i]!, expected))
}

function isFromRequest (response: ServiceResponse, requestId: unknown): boolean {
  return typeof requestId === 'string' && response.requestId === requestId && downstreamOf(response).every((inner) => isFromRequest(inner, requestId))
}
