import { Agent } from 'node:http'
import type { OperationKind } from '../matrix/cells.js'
import { createSchedule } from '../load/schedule.js'
import { classifyTry } from './resend.js'
import { sendOnce, type LoadRequest, type TryResult } from './send-once.js'

/** Node to which clients send requests. */
export type Entry = { vmId: string, url: string }

/** One try of a request with its node and times in ms; printed for lost requests. */
export type RecordedTry = TryResult & { entry: string, atMs: number, endMs: number }
/** How a request ended, over all its tries. */
export type RequestResult = { request: LoadRequest, lost: boolean, tries: RecordedTry[] }

/** Parameters of the load; requests are spread over `entries`. */
export type LoadOptions = { seed: number, perSecond: number, entries: Entry[], nowMs: () => number }
/** A load in progress; `ended` grows as requests end. */
export type RunningLoad = {
  ended: RequestResult[]
  /** Stops starting requests and waits for those in flight. */
  stop: () => Promise<RequestResult[]>
}

const KINDS: OperationKind[] = ['read', 'upload', 'claim']
const SHARES = [5, 2, 3]
/** Upper limit of the load's duration in s; it is stopped earlier, after the restarts. */
const MAX_RUN_S = 1800
const MAX_TRIES = 10

/** Starts an open-loop load: requests are sent at scheduled times, whether or not earlier ones have ended. */
export function startLoad ({ seed, perSecond, entries, nowMs }: LoadOptions): RunningLoad {
  const phases = [{ name: 'steady', perSecond, seconds: MAX_RUN_S }]
  const arrivals = createSchedule({ seed, phases, shares: SHARES, customers: 1, entries: entries.length })
  const agent = new Agent({ keepAlive: true })
  const ended: RequestResult[] = []
  const open = new Set<Promise<void>>()
  const startMs = nowMs()
  let next = 0
  let timer: NodeJS.Timeout

  const run = async (request: LoadRequest, firstEntry: number) => {
    const tries: RecordedTry[] = []
    for (;;) {
      const entry = entries[(firstEntry + tries.length) % entries.length]!
      const atMs = nowMs()
      const result = await sendOnce(entry.url, request, agent)
      tries.push({ ...result, entry: entry.vmId, atMs, endMs: nowMs() })
      const verdict = classifyTry(result)
      if (verdict !== 'resend' || tries.length === MAX_TRIES) {
        ended.push({ request, lost: verdict !== 'done', tries })
        return
      }
      // The second try is sent to another node at once; later ones honour Retry-After.
      if (tries.length > 1) await new Promise((resolve) => setTimeout(resolve, (result.retryAfterS ?? 1) * 1000))
    }
  }
  const startDue = () => {
    for (; next < arrivals.length && arrivals[next]!.atMs <= nowMs() - startMs; next++) {
      const { id, operation, entry } = arrivals[next]!
      const running = run({ operation: KINDS[operation]!, id, key: `${seed}-${id}` }, entry).finally(() => open.delete(running))
      open.add(running)
    }
    const waitMs = (arrivals[next]?.atMs ?? 0) + startMs - nowMs()
    timer = setTimeout(startDue, Math.max(1, waitMs))
  }
  startDue()
  return {
    ended,
    stop: async () => {
      clearTimeout(timer)
      await Promise.all(open)
      agent.destroy()
      return ended
    }
  }
}
