import { Agent } from 'node:http'
import type { OperationKind } from '../matrix/cells.js'
import { createSchedule } from '../load/schedule.js'
import { judge } from './resend.js'
import { sendOnce, type LoadRequest, type TryResult } from './send-once.js'

/** Node through which requests enter. */
export type Entry = { vmId: string, url: string }

/** One try of a request, kept as evidence. */
export type LoggedTry = TryResult & { entry: string, atMs: number, endMs: number }
export type RequestEnd = { request: LoadRequest, lost: boolean, tries: LoggedTry[] }

export type LoadOptions = { seed: number, perSecond: number, entries: Entry[], nowMs: () => number }
export type RunningLoad = {
  ended: RequestEnd[]
  /** Starts no more requests and waits for the open ones. */
  stop: () => Promise<RequestEnd[]>
}

const KINDS: OperationKind[] = ['read', 'upload', 'claim']
const SHARES = [5, 2, 3]
/** Longest run; the load stops when the restarts are done. */
const LONGEST_S = 1800
const MOST_TRIES = 10

/** Starts an open-loop load: requests start at their drawn times, whether or not earlier ones have ended. */
export function startLoad ({ seed, perSecond, entries, nowMs }: LoadOptions): RunningLoad {
  const phases = [{ name: 'steady', perSecond, seconds: LONGEST_S }]
  const arrivals = createSchedule({ seed, phases, shares: SHARES, customers: 1, entries: entries.length })
  const agent = new Agent({ keepAlive: true })
  const ended: RequestEnd[] = []
  const open = new Set<Promise<void>>()
  const startMs = nowMs()
  let next = 0
  let timer: NodeJS.Timeout

  const run = async (request: LoadRequest, firstEntry: number) => {
    const tries: LoggedTry[] = []
    for (;;) {
      const entry = entries[(firstEntry + tries.length) % entries.length]!
      const atMs = nowMs()
      const result = await sendOnce(entry.url, request, agent)
      tries.push({ ...result, entry: entry.vmId, atMs, endMs: nowMs() })
      const verdict = judge(result)
      if (verdict !== 'resend' || tries.length === MOST_TRIES) {
        ended.push({ request, lost: verdict !== 'done', tries })
        return
      }
      // The second try goes to another node at once; later ones honour Retry-After.
      if (tries.length > 1) await new Promise((resolve) => setTimeout(resolve, (result.retryAfterS ?? 1) * 1000))
    }
  }
  const startDue = () => {
    for (; next < arrivals.length && arrivals[next]!.atMs <= nowMs() - startMs; next++) {
      const { id, operation, entry } = arrivals[next]!
      const ending = run({ operation: KINDS[operation]!, id, key: `${seed}-${id}` }, entry).finally(() => open.delete(ending))
      open.add(ending)
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
