/** Periodic checks of many connections from one timer, which runs only while there is a connection to check. */
export type SilenceChecks = {
  /** Calls `check` once per period until it is removed. */
  add: (check: () => void) => void
  remove: (check: () => void) => void
}

/** Creates the checks. One timer for all connections wakes the process once per period instead of once per connection. */
export function createSilenceChecks (periodMs: number): SilenceChecks {
  const checks = new Set<() => void>()
  let timer: NodeJS.Timeout | undefined
  return {
    add: (check) => {
      checks.add(check)
      if (timer !== undefined) return
      timer = setInterval(() => { for (const run of [...checks]) run() }, periodMs)
      timer.unref()
    },
    remove: (check) => {
      checks.delete(check)
      if (checks.size > 0) return
      clearInterval(timer)
      timer = undefined
    }
  }
}
