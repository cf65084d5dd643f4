import type { MembersView, QuotaGrant, QuotaRequest, Quotas, RequestQuota, RetryLedger } from '@orioleslip/core'
import type { SendRetryRequest } from '../retries/request-retry.js'
import type { PeerPool } from './pool.js'

/**
 * Creates the handler of requests from other nodes: grants of retries for requests that entered at this node, and leases of the quotas
 * that this node owns.
 */
export function createPeerRequestHandler (ledger: RetryLedger, quotas: Quotas): (kind: string, body: unknown) => unknown {
  return (kind, body) => {
    switch (kind) {
      case 'retry': return ledger.take(String(body))
      case 'quota': return quotas.grant(body as QuotaRequest)
      default: return undefined
    }
  }
}

/** Creates the function that requests a retry from the entry node of a request. */
export function createRetryRequestSender (pool: PeerPool): SendRetryRequest {
  return async (ledger, requestId, timeoutMs) => await pool.request(ledger, 'retry', requestId, timeoutMs) as boolean | undefined
}

/** Creates the function that requests a quota lease from a customer's quota owner; it resolves with undefined if the owner is unknown. */
export function createQuotaRequestSender (pool: () => PeerPool, members: MembersView): RequestQuota {
  return async (vmId, request, timeoutMs) => {
    const owner = members.all().find((member) => member.record.vmId === vmId)?.record
    if (owner === undefined) return undefined
    return await pool().request({ host: owner.host, port: owner.peerPort }, 'quota', request, timeoutMs) as QuotaGrant | undefined
  }
}
