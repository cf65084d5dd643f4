import type { LoadReport, Refusal } from '@orioleslip/core'
import type { CallHead, CallReport, StreamMessage } from './messages.js'

type HeadMessage = Omit<Extract<StreamMessage, { type: 'head' }>, 'type'>

/** A call head as a list of values: field names would be most of its bytes, and traffic between failure domains is billed by the byte. */
export type CompactHead = [
  ...root: [requestId: string, traceId: string, customer: string, entryOpKey: string, priority: number],
  ...origin: [ledgerHost: string, ledgerPort: number, region: string],
  ...call: [service: string, method: string, path: string, headers: string[], opKey: string],
  ...terms: [remainingMs: number, traceFlags: string, deferBody: boolean],
  ...optional: [bodyBytes: number | null, claimKey: string | null, claimToken: string | null],
  /** Nodes of earlier versions send fewer of these. */
  ...recent: [leavingProcess?: number | null, fingerprint?: number | null, sentMs?: number | null]
]

/** A report as a list of values. */
export type CompactReport = [
  ...result: [pathLevel: number, regionBytes: number, reachedTarget: boolean, load: CompactLoad | null],
  ...leaving: [] | [leavingProcess: number]
]

type CompactLoad = [
  ...gate: [level: number, inFlight: number, queued: number, limit: number],
  /** Left out by targets that name no rate, and by nodes of earlier versions. */
  ...rate: [] | [perSecond: number, load: number]
]

/** A refusal and its report as a list of values. */
export type CompactRefusal = [refusal: Refusal, report: CompactReport]

/** Converts a call head and the time at which it was stamped to a list of values. */
export function packHead ({ head, sentMs }: HeadMessage): CompactHead {
  const { root: { requestId, traceId, customer, entryOpKey, priority, ledger, region }, claim } = head
  const { service, method, path, headers, opKey, remainingMs, traceFlags, deferBody, bodyBytes } = head
  const { leavingProcess = null, fingerprint = null } = head
  return [
    requestId, traceId, customer, entryOpKey, priority, ledger.host, ledger.port, region,
    service, method, path, headers, opKey, remainingMs, traceFlags, deferBody,
    bodyBytes ?? null, claim?.key ?? null, claim?.token ?? null,
    leavingProcess, fingerprint, sentMs ?? null
  ]
}

/** Converts a list of values back to a call head and its time. */
export function unpackHead (values: CompactHead): HeadMessage {
  const [requestId, traceId, customer, entryOpKey, priority, host, port, region, ...call] = values
  const [service, method, path, headers, opKey, remainingMs, traceFlags, deferBody, bodyBytes, key, token, ...recent] = call
  const [leavingProcess = null, fingerprint = null, sentMs = null] = recent
  const head: CallHead = {
    root: { requestId, traceId, customer, entryOpKey, priority, ledger: { host, port }, region },
    service,
    method,
    path,
    headers,
    opKey,
    remainingMs,
    traceFlags,
    deferBody,
    ...(bodyBytes === null ? {} : { bodyBytes }),
    ...(leavingProcess === null ? {} : { leavingProcess }),
    ...(fingerprint === null ? {} : { fingerprint }),
    ...(key === null || token === null ? {} : { claim: { key, token } })
  }
  return sentMs === null ? { head } : { head, sentMs }
}

/** Converts a report to a list of values. */
export function packReport ({ pathLevel, regionBytes, reachedTarget, load, leavingProcess }: CallReport): CompactReport {
  const compactLoad = load === undefined ? null : packLoad(load)
  if (leavingProcess === undefined) return [pathLevel, regionBytes, reachedTarget === true, compactLoad]
  return [pathLevel, regionBytes, reachedTarget === true, compactLoad, leavingProcess]
}

function packLoad ({ level, inFlight, queued, limit, rate }: LoadReport): CompactLoad {
  return rate === undefined ? [level, inFlight, queued, limit] : [level, inFlight, queued, limit, rate.perSecond, rate.load]
}

function unpackLoad ([level, inFlight, queued, limit, perSecond, load]: CompactLoad): LoadReport {
  return { level, inFlight, queued, limit, ...(perSecond === undefined || load === undefined ? {} : { rate: { perSecond, load } }) }
}

/** Converts a list of values back to a report. */
export function unpackReport ([pathLevel, regionBytes, reachedTarget, load, leavingProcess]: CompactReport): CallReport {
  return {
    pathLevel,
    regionBytes,
    ...(reachedTarget ? { reachedTarget } : {}),
    ...(load === null ? {} : { load: unpackLoad(load) }),
    ...(leavingProcess === undefined ? {} : { leavingProcess })
  }
}
