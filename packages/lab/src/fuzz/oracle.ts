import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import type { Refusal, StoredResponse } from '@orioleslip/core'

/** Key and body of a caller's request. */
export type CallerRequest = { key: string, body: string }
/** Response or refusal that a caller received. */
export type CallOutcome = { kind: 'complete', answer: StoredResponse } | { kind: 'refused', refusal: Refusal }

// Clocks of the simulated processes and leaders are off by at most 30 s each; a call may be frozen for 60 s between claim and dispatch.
const CLOCK_SLACK_MS = 180_000

/** Records how often each key ran at the targets and which outcome each caller received; shares no code with the product. */
export function createOracle (options: { keyHoldMs: number, isTimedKey: (key: string) => boolean }) {
  const calls: Array<{ request: CallerRequest, tokens: Set<string>, callOutcome?: CallOutcome, entryLost: boolean }> = []
  const runs: Array<{ request: CallerRequest, token: string, atMs: number }> = []
  const reportedViolations: string[] = []

  const bodyOf = (run: number) => `${run}|${runs[run]!.request.key}|${runs[run]!.request.body}`

  function checkRuns (): string[] {
    const violations: string[] = []
    const lastRunMs = new Map<string, number>()
    for (const { request: { key }, atMs } of runs) {
      const earlierMs = lastRunMs.get(key)
      if (earlierMs !== undefined && (options.isTimedKey(key) || atMs - earlierMs < options.keyHoldMs - CLOCK_SLACK_MS)) {
        violations.push(`key ${key} ran twice: at ${earlierMs} and ${atMs} ms`)
      }
      lastRunMs.set(key, atMs)
    }
    return violations
  }

  function checkOutcomes (): string[] {
    const violations: string[] = []
    calls.forEach(({ request, tokens, callOutcome }, i) => {
      if (callOutcome === undefined) return
      if (callOutcome.kind === 'refused') {
        if (callOutcome.refusal.outcome === 'not-run' && runs.some((run) => tokens.has(run.token))) {
          violations.push(`call ${i} with key ${request.key} was refused as not-run (${callOutcome.refusal.code}) but ran`)
        }
        return
      }
      const text = Buffer.from(callOutcome.answer.body).toString()
      const run = Number(text.split('|')[0])
      if (runs[run] === undefined || text !== bodyOf(run) || !isDeepStrictEqual(runs[run].request, request)) {
        violations.push(`call ${i} with key ${request.key} and body ${request.body} received the response "${text}", which does not match the request`)
      }
    })
    return violations
  }

  return {
    /** Registers a call; the returned functions record its attempt tokens and the outcome that its caller receives. */
    call: (request: CallerRequest) => {
      const call: (typeof calls)[number] = { request, tokens: new Set(), entryLost: false }
      const number = calls.push(call) - 1
      return {
        addToken: (token: string) => { call.tokens.add(token) },
        setOutcome: (callOutcome: CallOutcome) => {
          if (call.callOutcome !== undefined) reportedViolations.push(`call ${number} received two outcomes`)
          call.callOutcome = callOutcome
        },
        entryLost: () => { call.entryLost = true }
      }
    },
    /** Records that the target runs a request and returns its response body. */
    run: (request: CallerRequest, token: string, atMs: number): Buffer => {
      const run = runs.push({ request, token, atMs }) - 1
      return Buffer.from(bodyOf(run))
    },
    /** Adds a violation that was detected elsewhere, such as replicas that differ. */
    addViolation: (text: string) => { reportedViolations.push(text) },
    /** All violations so far. */
    violations: () => [...reportedViolations, ...checkRuns(), ...checkOutcomes()],
    /** Calls without an outcome although their entry node was not restarted. */
    callsWithoutOutcome: () => calls.flatMap((call, i) => call.callOutcome === undefined && !call.entryLost ? [`call ${i} received no outcome`] : []),
    /** Adds the calls to `counts` by outcome: `complete`, outcome and code of the refusal, or `none`. */
    countOutcomes: (counts: Record<string, number>) => {
      for (const { callOutcome } of calls) {
        const name = callOutcome === undefined ? 'none' : callOutcome.kind === 'complete' ? 'complete' : `${callOutcome.refusal.outcome} ${callOutcome.refusal.code}`
        counts[name] = (counts[name] ?? 0) + 1
      }
    },
    targetRuns: () => runs.length,
    /** Short hash of all executions and outcomes; equal runs have equal hashes. */
    fingerprint: () => createHash('sha256').update(JSON.stringify([
      runs.map(({ request, atMs }) => [request, atMs]),
      calls.map(({ callOutcome }) => callOutcome?.kind === 'refused' ? callOutcome.refusal : callOutcome?.kind)
    ])).digest('hex').slice(0, 16)
  }
}
export type Oracle = ReturnType<typeof createOracle>
