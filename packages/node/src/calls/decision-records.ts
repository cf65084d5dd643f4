import type { AttemptRecord } from './forwarder.js'

/** Decision of this node on one request or call, as shown by `orioleslip explain`. */
export type DecisionRecord = {
  requestId: string
  traceId: string
  wallMs: number
  customer: string
  service: string
  opKey: string
  priority: number
  /** True for a request that entered at this node, false for a call made by the local target. */
  entry: boolean
  status: number
  outcome: string
  detail: string
  admissionLevel: number
  attempts: AttemptRecord[]
  durationMs: number
  regionBytes: number
}

export type DecisionRecords = {
  add: (record: DecisionRecord) => void
  /** Records of a request, oldest first. */
  find: (requestId: string) => DecisionRecord[]
}

/** Longest text of a field that is kept, in characters; callers choose customers and paths. */
const MAX_TEXT_LENGTH = 512

/** Creates a ring buffer of the newest `limit` records. */
export function createDecisionRecords (limit: number): DecisionRecords {
  const ring: DecisionRecord[] = []
  let next = 0
  return {
    add: (record) => {
      if (limit === 0) return
      const { customer, opKey, detail } = record
      ring[next] = { ...record, customer: clip(customer), opKey: clip(opKey), detail: clip(detail) }
      next = (next + 1) % limit
    },
    find: (requestId) => ring.filter((record) => record.requestId === requestId).sort((a, b) => a.wallMs - b.wallMs)
  }
}

function clip (text: string): string {
  return text.length <= MAX_TEXT_LENGTH ? text : `${text.slice(0, MAX_TEXT_LENGTH)}... (${text.length} characters)`
}
