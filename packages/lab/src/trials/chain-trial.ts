import { createSeededRandom, LEVEL_INTERVAL_MS, notRun, priorityOf, unknownOutcome } from '@orioleslip/core'
import type { Importance, Refusal, RequestContext } from '@orioleslip/core'
import { createEntryAdmission, createLatencies, createRetryLedger, createTargetGate, mayRetry } from '@orioleslip/node'
import { createSimClock } from './sim-clock.js'
import { createTarget } from './target.js'

/** Parameters of a trial: `demand` multiplies the arrival rate, `slowness` the work of the deepest service, both in the overload phase. */
export type ChainSpec = { name: string, demand: number, slowness: number, resends: number, control: boolean, seed: number }

/** Class of requests: an importance, or lookups, which have the importance `browse` and don't use the deepest service. */
export type ClassName = Importance | 'lookup'
/** Result of a trial. */
export type ChainReport = {
  /** Completed requests per second in the overload phase without its first second, by class. */
  goodput: Record<ClassName, number>
  offered: Record<ClassName, number>
  /** Time from the end of the overload until goodput is back at 95% of its normal level, in ms; undefined if it did not recover. */
  recoveryMs: number | undefined
}

const SERVICES = [
  { slots: 50, connections: 400, workMs: 5 }, { slots: 30, connections: 240, workMs: 10 }, { slots: 10, connections: 80, workMs: 20 }
]
/** Calls per second that the deepest service can process. */
export const DEEPEST_CAPACITY = 500
const MIX: Array<{ name: ClassName, importance: Importance, share: number, depth: number }> = [
  { name: 'browse', importance: 'browse', share: 0.5, depth: 3 },
  { name: 'lookup', importance: 'browse', share: 0.2, depth: 2 },
  { name: 'upload', importance: 'upload', share: 0.1, depth: 3 },
  { name: 'claim', importance: 'claim', share: 0.2, depth: 3 }
]
const BASE_RATE_PER_S = 500
const TIMEOUT_MS = 1000
const RESEND_DELAY_MS = 100
const FAILURE_SHARE = 0.001
const LOAD_START_MS = 11_000
const OVERLOAD_START_MS = LOAD_START_MS + 5000
const OVERLOAD_END_MS = OVERLOAD_START_MS + 10_000
const END_MS = OVERLOAD_END_MS + 15_000
const BUCKET_MS = 250

type Attempt = { refusal: Refusal | undefined, level: number }

/** Runs one trial: 5 s of normal load, 10 s of overload, 15 s of normal load. */
export async function runChainTrial (spec: ChainSpec): Promise<ChainReport> {
  const clock = createSimClock()
  const random = createSeededRandom(spec.seed)
  const targets = SERVICES.map((service) => createTarget(service, clock, random))
  const gates = SERVICES.map(() => createTargetGate({ clock }))
  const entry = createEntryAdmission({ clock, random })
  const ledger = createRetryLedger({ clock, retryAllowance: 2 })
  const latencies = createLatencies(clock)
  const completed = new Map(MIX.map((op) => [op.name, new Array<number>(END_MS / BUCKET_MS).fill(0)]))

  const callOnce = async (ctx: RequestContext, depth: number, hop: number, deadlineMs: number, signal: AbortSignal): Promise<Attempt> => {
    let level = 0
    let refusal: Refusal | undefined
    let downstreamMs = 0
    const gate = gates[hop]!
    const opKey = `${ctx.entryOpKey} ${hop}`
    const entered = spec.control
      ? await gate.enter({ priority: ctx.priority, opKey, remainingMs: deadlineMs - clock.nowMs(), signal })
      : undefined
    if (entered?.kind === 'refused') return { refusal: entered.refusal, level: gate.load().level }
    const startMs = clock.nowMs()
    const result = await targets[hop]!.run({
      workMs: SERVICES[hop]!.workMs,
      signal,
      downstream: async () => {
        if (hop + 1 === depth) {
          if (random.next() < FAILURE_SHARE) refusal = unknownOutcome('target-lost', 'random failure')
        } else {
          const callStartMs = clock.nowMs()
          const downstreamAttempt = await call(ctx, depth, hop + 1, deadlineMs, signal)
          downstreamMs = clock.nowMs() - callStartMs
          level = downstreamAttempt.level
          refusal = downstreamAttempt.refusal
        }
        return refusal === undefined
      }
    })
    const latencyMs = clock.nowMs() - startMs
    if (result === 'shed') refusal = notRun('overloaded', 'shed by the target')
    else if (result === 'cancelled') refusal = unknownOutcome('deadline-exceeded', 'cancelled')
    if (entered?.kind === 'permit') {
      const kind = ({ done: 'answered', failed: 'failed', shed: 'targetShed', cancelled: 'cancelled' } as const)[result]
      entered.permit.release({ kind, latencyMs, downstreamMs })
    }
    if (refusal === undefined) latencies.add(opKey, latencyMs)
    return { refusal, level: Math.max(level, gate.load().level) }
  }

  const call = async (ctx: RequestContext, depth: number, hop: number, deadlineMs: number, signal: AbortSignal): Promise<Attempt> => {
    for (let tries = 1; ; tries++) {
      const attempt = await callOnce(ctx, depth, hop, deadlineMs, signal)
      const remainingMs = deadlineMs - clock.nowMs()
      if (attempt.refusal === undefined || remainingMs <= 0) return attempt
      const p50Ms = latencies.p50Ms(`${ctx.entryOpKey} ${hop}`)
      const retry = spec.control
        ? mayRetry({ refusal: attempt.refusal, repeatable: true, remainingMs, p50Ms }) && ledger.take(ctx.requestId)
        : tries < 3
      if (!retry) return attempt
    }
  }

  const requestOnce = async (op: typeof MIX[number], id: string, tries: number): Promise<boolean> => {
    const ctx: RequestContext = {
      requestId: `${id}.${tries}`,
      traceId: `${id}.${tries}`,
      customer: 'c',
      entryOpKey: `GET a /${op.name}`,
      priority: priorityOf(op.importance, `${id}.${tries}`),
      ledger: { host: '', port: 0 },
      region: 'r'
    }
    if (spec.control && entry.check(ctx.entryOpKey, ctx.priority) !== undefined) return false
    ledger.open(ctx, undefined)
    const cancel = new AbortController()
    const deadlineTimer = new AbortController()
    const timeout = clock.sleep(TIMEOUT_MS, deadlineTimer.signal).then(() => { cancel.abort() })
    const { refusal, level } = await call(ctx, op.depth, 0, clock.nowMs() + TIMEOUT_MS, cancel.signal)
    deadlineTimer.abort()
    await timeout
    entry.recordPathLevel(ctx.entryOpKey, level)
    ledger.close(ctx.requestId)
    return refusal === undefined
  }

  const request = async (op: typeof MIX[number], id: string): Promise<void> => {
    for (let tries = 0; tries <= spec.resends; tries++) {
      if (tries > 0) await clock.sleep(RESEND_DELAY_MS)
      if (await requestOnce(op, id, tries)) {
        const bucket = Math.floor(clock.nowMs() / BUCKET_MS)
        const counts = completed.get(op.name)!
        if (bucket < counts.length) counts[bucket]!++
        return
      }
    }
  }

  gates.forEach((gate, hop) => { gate.targetStarted(SERVICES[hop]!.slots) })
  const tick = () => {
    gates.forEach((gate) => { gate.tick() })
    clock.after(LEVEL_INTERVAL_MS, tick)
  }
  tick()
  let requests = 0
  const arrive = () => {
    const surge = clock.nowMs() >= OVERLOAD_START_MS && clock.nowMs() < OVERLOAD_END_MS
    let draw = random.next()
    const op = MIX.find((candidate) => (draw -= candidate.share) < 0) ?? MIX[0]!
    request(op, `${spec.seed}-${requests++}`).catch((err: unknown) => { throw err })
    clock.after(-Math.log(1 - random.next()) * 1000 / (BASE_RATE_PER_S * (surge ? spec.demand : 1)), arrive)
  }
  clock.after(LOAD_START_MS, arrive)
  clock.after(OVERLOAD_START_MS, () => { targets[2]!.setSlowness(spec.slowness) })
  clock.after(OVERLOAD_END_MS, () => { targets[2]!.setSlowness(1) })
  await clock.runUntil(END_MS)
  return report(completed, spec)
}

function report (completed: Map<ClassName, number[]>, spec: ChainSpec): ChainReport {
  const perSecond = (counts: number[], fromMs: number, toMs: number) =>
    counts.slice(fromMs / BUCKET_MS, toMs / BUCKET_MS).reduce((sum, n) => sum + n, 0) * 1000 / (toMs - fromMs)
  const byClass = (value: (op: typeof MIX[number]) => number) =>
    Object.fromEntries(MIX.map((op) => [op.name, value(op)])) as Record<ClassName, number>
  const total = (fromMs: number, toMs: number) => [...completed.values()].reduce((sum, counts) => sum + perSecond(counts, fromMs, toMs), 0)
  const normalRate = total(OVERLOAD_START_MS - 4000, OVERLOAD_START_MS)
  let recoveryMs: number | undefined
  for (let ms = 0; ms <= END_MS - OVERLOAD_END_MS - 1000 && recoveryMs === undefined; ms += BUCKET_MS) {
    if (total(OVERLOAD_END_MS + ms, OVERLOAD_END_MS + ms + 1000) >= 0.95 * normalRate) recoveryMs = ms
  }
  return {
    goodput: byClass((op) => perSecond(completed.get(op.name)!, OVERLOAD_START_MS + 1000, OVERLOAD_END_MS)),
    offered: byClass((op) => BASE_RATE_PER_S * spec.demand * op.share),
    recoveryMs
  }
}
