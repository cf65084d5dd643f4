import { z } from 'zod'
import type { Clock } from '@orioleslip/core'

/** What is known of a request. */
export type Judgement =
  | { kind: 'clear' }
  /** A target ended while it ran this request among others. */
  | { kind: 'suspect' }
  /** Several targets ended while they ran this request; it may not run for `leftMs`. */
  | { kind: 'blocked', leftMs: number }

/** What the nodes of a service know of requests during which targets ended. */
export type CrashTable = {
  record: (crash: Crash) => void
  /** Records that a target has completed the request; true if that was news. */
  clear: (fingerprint: number) => boolean
  judge: (fingerprint: number) => Judgement
  export: () => CrashTableContent
  merge: (content: CrashTableContent) => void
}

/** Time for which a request is suspect after a crash, in ms. */
const SUSPECT_MS = 60_000
/** Time for which a request is blocked after two crashes, in ms. */
const FIRST_BLOCK_MS = 60_000
/** Time for which a request is blocked after further crashes, in ms; then one more run shows whether the service was mended. */
const LATER_BLOCK_MS = 600_000
/** Crashes without which a request is not blocked: one may have another cause, or another request of the same moment. */
const BLOCKING_CRASHES = 2
/** Limits on what an attacker with many different requests can make the nodes keep. */
const MAX_CRASHES = 256
export const MAX_FINGERPRINTS_PER_CRASH = 512
const MAX_SUSPECTS = 4096
const MAX_BLOCKED = 1024

/** Fingerprint of a request in messages between nodes. */
export const fingerprintSchema = z.number().int().min(0)
/** Body of a crash in messages between nodes. */
export const crashSchema = z.strictObject({
  processId: z.number().int().min(0),
  fingerprints: z.array(fingerprintSchema).max(MAX_FINGERPRINTS_PER_CRASH).readonly()
})
/** Body of a table in messages between nodes. */
export const crashTableSchema = z.strictObject({
  crashes: z.array(crashSchema).max(MAX_CRASHES),
  blocked: z.array(z.strictObject({ fingerprint: fingerprintSchema, leftMs: z.number().min(0) })).max(MAX_BLOCKED)
})

/** A target process that ended by itself, and the fingerprints of the requests that it was running. */
export type Crash = z.infer<typeof crashSchema>
/** Content of a table, for a node that has just started. */
export type CrashTableContent = z.infer<typeof crashTableSchema>

type Block = { untilMs: number, forgetMs: number }

/**
 * Creates an empty table. A request is blocked when it is the only one that was running in two crashes. While several were, they stay
 * suspects: each completes and is cleared, or is running in a further crash.
 */
export function createCrashTable (clock: Clock): CrashTable {
  /** Unexplained crashes in the order of their arrival. */
  const crashes = new Map<number, { fingerprints: Set<number>, atMs: number }>()
  const suspects = new Map<number, Set<number>>()
  const blocked = new Map<number, Block>()

  const removeSuspect = (fingerprint: number, processId: number) => {
    const processes = suspects.get(fingerprint)
    processes?.delete(processId)
    if (processes?.size === 0) suspects.delete(fingerprint)
  }
  const removeCrash = (processId: number) => {
    for (const fingerprint of crashes.get(processId)?.fingerprints ?? []) removeSuspect(fingerprint, processId)
    crashes.delete(processId)
  }
  const expireCrashes = () => {
    const nowMs = clock.nowMs()
    for (const [processId, { atMs }] of crashes) {
      if (nowMs - atMs < SUSPECT_MS && crashes.size <= MAX_CRASHES && suspects.size <= MAX_SUSPECTS) break
      removeCrash(processId)
    }
  }
  const expireBlocked = () => {
    const nowMs = clock.nowMs()
    for (const [fingerprint, { forgetMs }] of blocked) if (nowMs >= forgetMs) blocked.delete(fingerprint)
  }

  const block = (fingerprint: number, durationMs: number) => {
    const untilMs = clock.nowMs() + durationMs
    blocked.set(fingerprint, { untilMs, forgetMs: untilMs + LATER_BLOCK_MS })
    // These crashes are explained, so that the other requests of them are no longer suspects.
    for (const processId of [...suspects.get(fingerprint) ?? []]) removeCrash(processId)
    const oldest = blocked.keys().next()
    if (blocked.size > MAX_BLOCKED && oldest.done !== true) blocked.delete(oldest.value)
  }

  const evaluate = (processId: number) => {
    const fingerprints = [...crashes.get(processId)?.fingerprints ?? []]
    const known = fingerprints.find((fingerprint) => blocked.has(fingerprint))
    if (known !== undefined) return block(known, LATER_BLOCK_MS)
    const repeated = fingerprints.filter((fingerprint) => (suspects.get(fingerprint)?.size ?? 0) >= BLOCKING_CRASHES)
    if (repeated.length !== 1) return
    const crashCount = suspects.get(repeated[0]!)!.size
    block(repeated[0]!, crashCount > BLOCKING_CRASHES ? LATER_BLOCK_MS : FIRST_BLOCK_MS)
  }

  const record = ({ processId, fingerprints }: Crash) => {
    const crash = crashes.get(processId) ?? { fingerprints: new Set<number>(), atMs: clock.nowMs() }
    crashes.set(processId, crash)
    for (const fingerprint of fingerprints.slice(0, MAX_FINGERPRINTS_PER_CRASH)) {
      crash.fingerprints.add(fingerprint)
      const processes = suspects.get(fingerprint) ?? new Set()
      suspects.set(fingerprint, processes.add(processId))
    }
    expireCrashes()
    expireBlocked()
    evaluate(processId)
  }

  return {
    record,
    clear: (fingerprint) => {
      const wasBlocked = blocked.delete(fingerprint)
      const processIds = [...suspects.get(fingerprint) ?? []]
      suspects.delete(fingerprint)
      for (const processId of processIds) crashes.get(processId)?.fingerprints.delete(fingerprint)
      for (const processId of processIds) evaluate(processId)
      return wasBlocked || processIds.length > 0
    },
    judge: (fingerprint) => {
      if (crashes.size === 0 && blocked.size === 0) return { kind: 'clear' }
      expireCrashes()
      const block = blocked.get(fingerprint)
      if (block === undefined || clock.nowMs() >= block.forgetMs) return { kind: suspects.has(fingerprint) ? 'suspect' : 'clear' }
      const leftMs = block.untilMs - clock.nowMs()
      return leftMs > 0 ? { kind: 'blocked', leftMs } : { kind: 'suspect' }
    },
    export: () => {
      expireCrashes()
      expireBlocked()
      return {
        crashes: [...crashes].map(([processId, { fingerprints }]) => ({ processId, fingerprints: [...fingerprints] })),
        blocked: [...blocked].map(([fingerprint, { untilMs }]) => ({ fingerprint, leftMs: Math.max(0, untilMs - clock.nowMs()) }))
      }
    },
    merge: (content) => {
      for (const { fingerprint, leftMs } of content.blocked) {
        const untilMs = clock.nowMs() + Math.min(leftMs, LATER_BLOCK_MS)
        const known = blocked.get(fingerprint)
        if (known === undefined || known.untilMs < untilMs) blocked.set(fingerprint, { untilMs, forgetMs: untilMs + LATER_BLOCK_MS })
      }
      // A crash that is explained here may have reached the other node alone.
      for (const crash of content.crashes) if (!crash.fingerprints.some((fingerprint) => blocked.has(fingerprint))) record(crash)
    }
  }
}
