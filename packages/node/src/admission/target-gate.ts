import { LEVEL_INTERVAL_MS, notRun } from '@orioleslip/core'
import type { CallEnd, Clock, GateRequest, GateResult, Permit, Refusal, TargetGate } from '@orioleslip/core'
import { createConcurrencyLimit, type ConcurrencyLimit } from '../limits/concurrency-limit.js'
import { createLatencies } from '../limits/latencies.js'
import { createAdmissionLevel } from './admission-level.js'
import { createPriorityQueue } from './priority-queue.js'

type Waiter = { req: GateRequest, dueMs: number, settle: (res: GateResult) => void }

// The queue holds the calls of about one service time, and of at least 25 ms: callers keep their own slots while they wait here.
const QUEUE_MS = 25
const MIN_QUEUE = 8
const MEAN_WEIGHT = 0.05

const refused = (refusal: Refusal): GateResult => ({ kind: 'refused', refusal })

/** Creates the queue and the concurrency limit in front of the target beside this node. */
export function createTargetGate (opts: { clock: Clock, limiter?: ConcurrencyLimit }): TargetGate {
  const { clock, limiter = createConcurrencyLimit(opts.clock) } = opts
  const latencies = createLatencies(clock)
  const level = createAdmissionLevel()
  const queue = createPriorityQueue<Waiter>()
  let inFlight = 0
  let dispatched = 0
  let dropped = 0
  let serviceMs = 0
  let tickedMs = clock.nowMs()

  // Uploads whose body is on its way wait on unless their deadline has passed.
  const tooLate = (req: GateRequest, remainingMs: number): boolean =>
    remainingMs <= 0 || (!bodyStarted(req) && remainingMs < latencies.p50Ms(req.opKey))

  const tooLateRefusal = (req: GateRequest, remainingMs: number): GateResult => refused(notRun('deadline-exceeded',
    `${Math.round(remainingMs)} ms are left, but ${req.opKey} takes ${Math.round(latencies.p50Ms(req.opKey))} ms`))

  const release = (opKey: string, end: CallEnd): void => {
    if (end.kind === 'answered') latencies.add(opKey, end.latencyMs)
    else if (end.kind === 'cancelled') latencies.addCutShort(opKey, end.latencyMs)
    if (end.kind === 'answered' || end.kind === 'cancelled') serviceMs += (end.latencyMs - serviceMs) * MEAN_WEIGHT
  }

  const issue = (opKey: string): Permit => {
    inFlight++
    dispatched++
    const dispatch = limiter.dispatched(opKey, inFlight >= limiter.limit())
    let released = false
    return {
      release: (end) => {
        if (released) return
        released = true
        inFlight--
        limiter.ended(dispatch, end)
        release(opKey, end)
        pump()
      }
    }
  }

  const pump = (): void => {
    while (inFlight < limiter.limit()) {
      const waiter = queue.shift()
      if (waiter === undefined) return
      const remainingMs = waiter.dueMs - clock.nowMs()
      if (tooLate(waiter.req, remainingMs)) {
        dropped++
        waiter.settle(tooLateRefusal(waiter.req, remainingMs))
      } else {
        waiter.settle({ kind: 'permit', permit: issue(waiter.req.opKey) })
      }
    }
  }

  const dropLowest = (): void => {
    const lowest = queue.findLowest((waiter) => !bodyStarted(waiter.req))
    if (lowest === undefined) return
    queue.remove(lowest)
    dropped++
    lowest.value.settle(refused(notRun('overloaded', 'the queue in front of the target is full of calls of higher priority', 1)))
  }

  const wait = (req: GateRequest): Promise<GateResult> => new Promise((resolve) => {
    const onAbort = () => {
      if (queue.remove(node)) waiter.settle(refused(notRun('deadline-exceeded', 'the caller went away while the call waited')))
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
    if (queue.size() > Math.max(MIN_QUEUE, limiter.limit() * Math.max(1, QUEUE_MS / Math.max(1, serviceMs)))) dropLowest()
  })

  return {
    enter: async (req) => {
      if (limiter.limit() === 0) return refused(notRun('no-target', 'no target has announced itself beside this node', 1))
      if (req.signal.aborted) return refused(notRun('deadline-exceeded', 'the caller went away before the call was queued'))
      // A deadline that is too short for the operation itself is no sign of overload.
      if (tooLate(req, req.remainingMs)) return tooLateRefusal(req, req.remainingMs)
      level.arrived(req.priority)
      if (queue.size() === 0 && inFlight < limiter.limit()) return { kind: 'permit', permit: issue(req.opKey) }
      return wait(req)
    },
    load: () => ({ level: level.level(), inFlight, queued: queue.size(), limit: limiter.limit() }),
    targetStarted: (capacity) => {
      limiter.targetStarted(capacity)
      pump()
    },
    tick: () => {
      queue.forEach((node) => {
        const remainingMs = node.value.dueMs - clock.nowMs()
        if (!tooLate(node.value.req, remainingMs)) return
        queue.remove(node)
        dropped++
        node.value.settle(tooLateRefusal(node.value.req, remainingMs))
      })
      const nowMs = clock.nowMs()
      level.tick({
        dispatched,
        dropped,
        queued: queue.size(),
        use: Math.min(1, inFlight / Math.max(1, limiter.limit())),
        serviceMs
      }, nowMs > tickedMs ? nowMs - tickedMs : LEVEL_INTERVAL_MS)
      tickedMs = nowMs
      dispatched = 0
      dropped = 0
      pump()
    }
  }
}

function bodyStarted (req: GateRequest): boolean {
  return req.bodyStarted?.() ?? false
}
