/** The ids that were added last. */
export type RecentIds = { add: (id: string) => void, has: (id: string) => boolean }

/** Creates an empty set that keeps the last `limit` ids. */
export function createRecentIds (limit: number): RecentIds {
  const ids = new Set<string>()
  return {
    add: (id) => {
      ids.add(id)
      if (ids.size <= limit) return
      const oldest = ids.values().next()
      if (oldest.done !== true) ids.delete(oldest.value)
    },
    has: (id) => ids.has(id)
  }
}
