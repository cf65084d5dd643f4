import type { AskQuota, MembersView, QuotaAsk, QuotaGrant, Quotas, RetryLedger } from '@orioleslip/core'
import type { SendRetryAsk } from '../retries/ask-retry.js'
import type { PeerPool } from './pool.js'

/** Answers the questions of other nodes: retries of requests that entered here, leases of customers whose quota owner is here. */
export function createAnswers (ledger: RetryLedger, quotas: Quotas): (kind: string, body: unknown) => unknown {
  return (kind, body) => {
    switch (kind) {
      case 'retry': return ledger.take(String(body))
      case 'quota': return quotas.answer(body as QuotaAsk)
      default: return undefined
    }
  }
}

/** Sends a retry question to the entry node of a request. */
export function createRetryQuestion (pool: PeerPool): SendRetryAsk {
  return async (ledger, requestId, timeoutMs) => await pool.ask(ledger, 'retry', requestId, timeoutMs) as boolean | undefined
}

/** Sends a quota question to the node of the customer's quota owner. */
export function createQuotaQuestion (pool: () => PeerPool, members: MembersView): AskQuota {
  return async (vmId, ask, timeoutMs) => {
    const owner = members.all().find((member) => member.record.vmId === vmId)?.record
    if (owner === undefined) return undefined
    return await pool().ask({ host: owner.host, port: owner.peerPort }, 'quota', ask, timeoutMs) as QuotaGrant | undefined
  }
}
