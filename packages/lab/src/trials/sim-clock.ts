import type { Clock } from '@orioleslip/core'

type Event = { atMs: number, order: number, run: () => void }

/** Clock of a discrete-event simulation: time advances from one scheduled event to the next. */
export type SimClock = Clock & {
  after: (ms: number, run: () => void) => void
  /** Runs the events until `untilMs`; the microtask queue is drained after each event. */
  runUntil: (untilMs: number) => Promise<void>
}

/** Creates a clock with a heap of events, as the unit tests' fake clock sorts all sleepers at each step, which is slow for many events. */
export function createSimClock (): SimClock {
  const heap: Event[] = []
  let nowMs = 0
  let order = 0
  const before = (a: Event, b: Event) => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
  const swap = (i: number, j: number) => { [heap[i], heap[j]] = [heap[j]!, heap[i]!] }
  const push = (event: Event) => {
    heap.push(event)
    for (let i = heap.length - 1; i > 0;) {
      const parent = (i - 1) >> 1
      if (!before(heap[i]!, heap[parent]!)) break
      swap(i, parent)
      i = parent
    }
  }
  const pop = (): Event => {
    const top = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return top
    heap[0] = last
    for (let i = 0; ;) {
      let least = i
      for (const child of [2 * i + 1, 2 * i + 2]) if (child < heap.length && before(heap[child]!, heap[least]!)) least = child
      if (least === i) return top
      swap(i, least)
      i = least
    }
  }
  const after = (ms: number, run: () => void) => { push({ atMs: nowMs + ms, order: order++, run }) }
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (ms, signal) => new Promise((resolve) => {
      after(ms, resolve)
      signal?.addEventListener('abort', () => { resolve() }, { once: true })
    }),
    after,
    runUntil: async (untilMs) => {
      while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
        const event = pop()
        nowMs = event.atMs
        event.run()
        await new Promise(setImmediate)
      }
      nowMs = untilMs
    }
  }
}
