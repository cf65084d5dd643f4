import { createHash } from 'node:crypto'
import { HEADERS } from '@orioleslip/core'
import { request, type Agent } from 'undici'
import type { ClientBehaviour, LoadOperation } from './operations.js'
import type { Arrival } from './schedule.js'
import { checkResponse } from './response-check.js'

/** How a client's request ended, over all its tries. */
export type RequestResult = {
  id: number
  good: boolean
  /** From the scheduled time to the end, including delays between client and node, in ms. */
  latencyMs: number
  /** Tries that were sent. */
  tries: number
  /** `ok`, a refusal code, `http-<status>`, `late`, `timeout`, `connection`, `incomplete` or `foreign` of the last try. */
  code: string
  /** How much later than scheduled the first try was sent, in ms; a high value means that the load generator is overloaded. */
  lagMs: number
}

/** Parameters of a client; `customers` are ids to which the arrivals refer by index. */
export type ClientOptions = {
  operations: LoadOperation[]
  customers: string[]
  /** Base URLs of the nodes. */
  entries: string[]
  behaviour: ClientBehaviour
  /** Part of the idempotency keys, so that different runs use different keys. */
  runId: string
  agent: Agent
  /** Time since the start of the run, in ms. */
  nowMs: () => number
}

const PROBLEM_TYPE = /"urn:orioleslip:([a-z-]+)"/
// Resends go to every 7th node, because nodes with adjacent numbers belong to the same service.
const ENTRY_STEP = 7

/** Creates the client of a run. It resends a request until the response is complete, the deadline passes or no resend is left. */
export function createClient (options: ClientOptions) {
  const { operations, customers, entries, behaviour, agent, nowMs } = options

  const attempt = async (arrival: Arrival, op: LoadOperation, number: number, remainingMs: number): Promise<string> => {
    const path = `${op.path}/${arrival.id}`
    const headers: Record<string, string> = {
      [HEADERS.customer]: customers[arrival.customer]!,
      [HEADERS.timeoutMs]: String(Math.max(1, Math.floor(remainingMs)))
    }
    if (!op.repeatable) headers[HEADERS.idempotencyKey] = keyOf(options.runId, arrival.id)
    const body = op.method === 'POST' ? 'x'.repeat(op.bodyBytes) : undefined
    const entry = entries[(arrival.entry + number * ENTRY_STEP) % entries.length]!
    try {
      const res = await request(`${entry}/${op.service}${path}`, {
        method: op.method,
        headers,
        dispatcher: agent,
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(Math.min(remainingMs, behaviour.attemptTimeoutMs)))),
        ...(body === undefined ? {} : { body })
      })
      const text = await res.body.text()
      if (res.statusCode !== 200) return PROBLEM_TYPE.exec(text)?.[1] ?? `http-${res.statusCode}`
      const check = checkResponse(text, op.chain, path)
      return check === 'complete' ? 'ok' : check
    } catch (err) {
      return err instanceof Error && (err.name === 'TimeoutError' || err.name === 'AbortError') ? 'timeout' : 'connection'
    }
  }

  return {
    /** Sends one request with its resends; has to be called at the scheduled time. */
    run: async (arrival: Arrival): Promise<RequestResult> => {
      const op = operations[arrival.operation]!
      const roundTripMs = 2 * behaviour.delayMs
      const dueMs = arrival.atMs + op.deadlineMs - roundTripMs
      const lagMs = nowMs() - arrival.atMs
      for (let tries = 1; ; tries++) {
        const code = await attempt(arrival, op, tries - 1, dueMs - nowMs())
        const endMs = nowMs()
        const result = { id: arrival.id, latencyMs: endMs - arrival.atMs + roundTripMs, tries, lagMs }
        if (code === 'ok') return { ...result, good: endMs <= dueMs, code: endMs <= dueMs ? 'ok' : 'late' }
        const delayMs = behaviour.resendDelaysMs[tries - 1]
        if (delayMs === undefined || endMs + delayMs >= dueMs) return { ...result, good: false, code }
        await new Promise((resolve) => setTimeout(resolve, delayMs))
      }
    }
  }
}

/** Idempotency key of a request; the same for all its tries. */
function keyOf (runId: string, id: number): string {
  return createHash('sha256').update(`${runId} ${id}`).digest('hex').slice(0, 32)
}
