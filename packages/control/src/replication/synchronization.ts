import { createCanceller, type Canceller, type Clock } from '@orioleslip/core'

/** Wakes the tasks that wait for a change. */
export type Notifier = {
  notify: () => void
  /** Resolves at the next `notify`, or after `ms`. */
  wait: (ms: number) => Promise<void>
}

/** Creates a notifier. */
export function createNotifier (clock: Clock): Notifier {
  let waiting: Canceller[] = []
  return {
    notify: () => {
      const woken = waiting
      waiting = []
      for (const controller of woken) controller.abort()
    },
    wait: async (ms) => {
      const controller = createCanceller()
      waiting.push(controller)
      await clock.sleep(ms, controller.signal)
      waiting = waiting.filter((other) => other !== controller)
    }
  }
}

/** Runs tasks one at a time, in the order of the calls. */
export type Lock = <T>(task: () => Promise<T>) => Promise<T>

/** Creates a lock. */
export function createLock (): Lock {
  let last: Promise<unknown> = Promise.resolve()
  return (task) => {
    const current = last.then(task)
    last = current.catch(() => {})
    return current
  }
}

/** Resolves with undefined when `promise` rejects or takes longer than `ms`. */
export async function withTimeout<T> (clock: Clock, ms: number, promise: Promise<T>): Promise<T | undefined> {
  const controller = createCanceller()
  const timeout = clock.sleep(ms, controller.signal).then(() => undefined)
  const res = await Promise.race([promise.catch(() => undefined), timeout])
  controller.abort()
  return res
}
