import type { AttemptRecord } from './forwarder.js'

/** What this node decided about one request or call, for `orioleslip explain`. */
export type DecisionRecord = {
  requestId: string
  traceId: string
  wallMs: number
  customer: string
  service: string
  opKey: string
  priority: number
  /** True when the request entered at this node, false for a call of the target beside it. */
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

/** Keeps the newest `limit` records in a ring. */
export function createDecisionRecords (limit: number): DecisionRecords {
  const ring: DecisionRecord[] = []
  let next = 0
  return {
    add: (record) => {
      if (limit === 0) return
      ring[next] = record
      next = (next + 1) % limit
    },
    find: (requestId) => ring.filter((record) => record.requestId === requestId).sort((a, b) => a.wallMs - b.wallMs)
  }
}
