import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import type { Refusal, StoredAnswer } from '@orioleslip/core'

/** What a caller asks for. */
export type CallerRequest = { key: string, body: string }
export type Told = { kind: 'complete', answer: StoredAnswer } | { kind: 'refused', refusal: Refusal }

// Clocks of the simulated processes and leaders differ by at most 30 s each; a call may be frozen for 60 s between claim and dispatch.
const CLOCK_SLACK_MS = 180_000

/** Knows how often each key truly ran and what each caller was told; shares no code with the product. */
export function createOracle (options: { keyHoldMs: number, isTimedKey: (key: string) => boolean }) {
  const calls: Array<{ request: CallerRequest, tokens: Set<string>, told?: Told, entryLost: boolean }> = []
  const runs: Array<{ request: CallerRequest, token: string, atMs: number }> = []
  const notes: string[] = []

  const bodyOf = (run: number) => `${run}|${runs[run]!.request.key}|${runs[run]!.request.body}`

  function checkRuns (): string[] {
    const found: string[] = []
    const last = new Map<string, number>()
    for (const { request: { key }, atMs } of runs) {
      const earlierMs = last.get(key)
      if (earlierMs !== undefined && (options.isTimedKey(key) || atMs - earlierMs < options.keyHoldMs - CLOCK_SLACK_MS)) {
        found.push(`key ${key} ran twice: at ${earlierMs} and ${atMs} ms`)
      }
      last.set(key, atMs)
    }
    return found
  }

  function checkTold (): string[] {
    const found: string[] = []
    calls.forEach(({ request, tokens, told }, i) => {
      if (told === undefined) return
      if (told.kind === 'refused') {
        if (told.refusal.outcome === 'not-run' && runs.some((run) => tokens.has(run.token))) {
          found.push(`call ${i} with key ${request.key} was told not-run (${told.refusal.code}) and ran`)
        }
        return
      }
      const text = Buffer.from(told.answer.body).toString()
      const run = Number(text.split('|')[0])
      if (runs[run] === undefined || text !== bodyOf(run) || !isDeepStrictEqual(runs[run].request, request)) {
        found.push(`call ${i} with key ${request.key} and body ${request.body} got the answer "${text}"`)
      }
    })
    return found
  }

  return {
    /** Registers a call; the functions note its tokens and what its caller is told. */
    call: (request: CallerRequest) => {
      const call: (typeof calls)[number] = { request, tokens: new Set(), entryLost: false }
      const number = calls.push(call) - 1
      return {
        token: (token: string) => { call.tokens.add(token) },
        told: (told: Told) => {
          if (call.told !== undefined) notes.push(`call ${number} was answered twice`)
          call.told = told
        },
        entryLost: () => { call.entryLost = true }
      }
    },
    /** Notes that the target runs a request and returns its response body. */
    run: (request: CallerRequest, token: string, atMs: number): Buffer => {
      const run = runs.push({ request, token, atMs }) - 1
      return Buffer.from(bodyOf(run))
    },
    /** Notes a fault seen elsewhere, such as replicas that differ. */
    note: (text: string) => { notes.push(text) },
    /** Violations so far. */
    violations: () => [...notes, ...checkRuns(), ...checkTold()],
    /** Calls that got no answer although their entry node lives. */
    unanswered: () => calls.flatMap((call, i) => call.told === undefined && !call.entryLost ? [`call ${i} got no answer`] : []),
    /** Number of calls by what their callers were told: `complete`, or outcome and code of the refusal. */
    countTold: (counts: Record<string, number>) => {
      for (const { told } of calls) {
        const name = told === undefined ? 'none' : told.kind === 'complete' ? 'complete' : `${told.refusal.outcome} ${told.refusal.code}`
        counts[name] = (counts[name] ?? 0) + 1
      }
    },
    targetRuns: () => runs.length,
    /** Short fingerprint of everything noted; equal runs have equal ones. */
    fingerprint: () => createHash('sha256').update(JSON.stringify([
      runs.map(({ request, atMs }) => [request, atMs]),
      calls.map(({ told }) => told?.kind === 'refused' ? told.refusal : told?.kind)
    ])).digest('hex').slice(0, 16)
  }
}
export type Oracle = ReturnType<typeof createOracle>
