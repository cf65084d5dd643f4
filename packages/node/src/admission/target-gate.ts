import { LEVEL_INTERVAL_MS, notRun } from '@orioleslip/core'
import type { CallEnd, Clock, GateRequest, GateResult, Permit, Refusal, TargetGate } from '@orioleslip/core'
import { createConcurrencyLimit, type ConcurrencyLimit } from '../limits/concurrency-limit.js'
import { createLatencies } from '../limits/latencies.js'
import { createReturnTimes } from '../limits/return-times.js'
import { createTargetRate } from '../limits/target-rate.js'
import { createAdmissionLevel } from './admission-level.js'
import { createPriorityQueue } from './priority-queue.js'

type Waiter = { req: GateRequest, dueMs: number, settle: (res: GateResult) => void }

// The queue is limited to the calls of about one service time, and of at least 25 ms. It is short because callers keep their own slots
// while their calls wait here.
const QUEUE_MS = 25
const MIN_QUEUE = 8
// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT = 0.05

// Longest measurement window without pressure. It is longer than the interval of the ticks, so that these end the windows under pressure.
const IDLE_WINDOW_MS = 2 * LEVEL_INTERVAL_MS

const refused = (refusal: Refusal): GateResult => ({ kind: 'refused', refusal })

/**
 * Creates the gate in front of the local target: a priority queue, a concurrency limit, the rate limit that the target names, and the
 * admission level computed from them.
 */
export function createTargetGate (opts: { clock: Clock, limiter?: ConcurrencyLimit }): TargetGate {
  const { clock, limiter = createConcurrencyLimit(opts.clock) } = opts
  const latencies = createLatencies(clock)
  const rate = createTargetRate(clock)
  const returnTimes = createReturnTimes(clock)
  const level = createAdmissionLevel()
  const queue = createPriorityQueue<Waiter>()
  let inFlight = 0
  let dispatched = 0
  let dropped = 0
  let serviceMs = 0
  let lastTickMs = clock.nowMs()
  let onPressure = () => {}

  const underPressure = (): boolean => queue.size() > 0 || dropped > 0 || level.level() > 0

  // An upload whose body is being transferred stays queued until its deadline has passed.
  const missesDeadline = (req: GateRequest, remainingMs: number): boolean =>
    remainingMs <= 0 || (!bodyStarted(req) && remainingMs < latencies.p50Ms(req.opKey))

  const deadlineRefusal = (req: GateRequest, remainingMs: number): GateResult => refused(notRun('deadline-exceeded',
    `${Math.round(remainingMs)} ms are left, but ${req.opKey} takes ${Math.round(latencies.p50Ms(req.opKey))} ms`))

  const recordLatency = (opKey: string, end: CallEnd): void => {
    if (end.kind === 'answered') latencies.add(opKey, end.latencyMs)
    else if (end.kind === 'cancelled') latencies.addLowerBound(opKey, end.latencyMs)
    if (end.kind === 'answered' || end.kind === 'cancelled') serviceMs += (end.latencyMs - serviceMs) * SERVICE_TIME_WEIGHT
  }

  const issuePermit = (opKey: string): Permit => {
    inFlight++
    dispatched++
    rate.sent()
    const dispatch = limiter.dispatched(opKey, inFlight >= limiter.limit())
    let released = false
    return {
      release: (end) => {
        if (released) return
        released = true
        inFlight--
        if (end.kind === 'notSent') rate.notSent()
        limiter.ended(dispatch, end)
        recordLatency(opKey, end)
        dispatchQueued()
      }
    }
  }

  const hasRoom = (): boolean => inFlight < limiter.limit() && rate.isOpen()

  const dispatchQueued = (): void => {
    while (queue.size() > 0 && hasRoom()) {
      const waiter = queue.shift()
      if (waiter === undefined) return
      const remainingMs = waiter.dueMs - clock.nowMs()
      if (missesDeadline(waiter.req, remainingMs)) {
        dropped++
        waiter.settle(deadlineRefusal(waiter.req, remainingMs))
      } else {
        waiter.settle({ kind: 'permit', permit: issuePermit(waiter.req.opKey) })
      }
    }
  }

  const queueBound = (): number => {
    const bound = Math.max(MIN_QUEUE, limiter.limit() * Math.max(1, QUEUE_MS / Math.max(1, serviceMs)))
    return Math.min(bound, rate.queueBound() ?? Infinity)
  }

  const overloadRefusal = (): GateResult => {
    const named = rate.load()
    if (named === undefined) return refused(notRun('overloaded', 'the queue in front of the target is full of calls of higher priority', 1))
    const detail = `the target accepts ${named.perSecond} calls per second, and calls of higher priority wait`
    return refused(notRun('overloaded', detail, returnTimes(named.perSecond)))
  }

  const dropLowest = (): void => {
    const lowest = queue.findLowest((waiter) => !bodyStarted(waiter.req))
    if (lowest === undefined) return
    queue.remove(lowest)
    dropped++
    lowest.value.settle(overloadRefusal())
  }

  const enqueue = (req: GateRequest): Promise<GateResult> => new Promise((resolve) => {
    const onAbort = () => {
      if (queue.remove(node)) waiter.settle(refused(notRun('deadline-exceeded', 'the caller disconnected while the call was queued')))
    }
    const waiter: Waiter = {
      req,
      dueMs: clock.nowMs() + req.remainingMs,
      settle: (res) => {
        req.signal.removeEventListener('abort', onAbort)
        resolve(res)
      }
    }
    const node = queue.push(req.priority, waiter)
    req.signal.addEventListener('abort', onAbort, { once: true })
    onPressure()
    if (queue.size() > queueBound()) dropLowest()
  })

  const tick = (): void => {
    queue.forEach((node) => {
      const remainingMs = node.value.dueMs - clock.nowMs()
      if (!missesDeadline(node.value.req, remainingMs)) return
      queue.remove(node)
      dropped++
      node.value.settle(deadlineRefusal(node.value.req, remainingMs))
    })
    const nowMs = clock.nowMs()
    level.tick({
      dispatched,
      dropped,
      queued: queue.size(),
      utilization: Math.min(1, Math.max(inFlight / Math.max(1, limiter.limit()), rate.load()?.load ?? 0)),
      serviceMs
    }, nowMs > lastTickMs ? nowMs - lastTickMs : LEVEL_INTERVAL_MS)
    lastTickMs = nowMs
    dispatched = 0
    dropped = 0
    dispatchQueued()
  }

  return {
    enter: async (req) => {
      if (limiter.limit() === 0) return refused(notRun('no-target', 'no target has announced itself beside this node', 1))
      if (req.signal.aborted) return refused(notRun('deadline-exceeded', 'the caller disconnected before the call was queued'))
      // A deadline shorter than the operation's latency is not a sign of overload, so it does not count as dropped.
      if (missesDeadline(req, req.remainingMs)) return deadlineRefusal(req, req.remainingMs)
      // Without pressure there is no timer, so the measurement window ends with the first call after it.
      if (!underPressure() && clock.nowMs() - lastTickMs > IDLE_WINDOW_MS) tick()
      level.arrived(req.priority)
      rate.arrived()
      // Calls whose turn has come since the last tick go first.
      dispatchQueued()
      if (queue.size() === 0 && hasRoom()) return { kind: 'permit', permit: issuePermit(req.opKey) }
      return enqueue(req)
    },
    load: () => {
      const named = rate.load()
      const report = { level: level.level(), inFlight, queued: queue.size(), limit: limiter.limit() }
      return named === undefined ? report : { ...report, rate: named }
    },
    targetStarted: (capacity, sameProcess = false) => {
      limiter.targetStarted(capacity)
      if (!sameProcess) rate.setLimit(undefined)
      dispatchQueued()
    },
    setRateLimit: (perSecond) => {
      rate.setLimit(perSecond)
      dispatchQueued()
    },
    tick,
    underPressure,
    onPressure: (listener) => { onPressure = listener }
  }
}

function bodyStarted (req: GateRequest): boolean {
  return req.bodyStarted?.() ?? false
}
