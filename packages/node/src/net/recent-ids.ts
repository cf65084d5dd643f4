import { createHash } from 'node:crypto'

/** The ids that were added last. */
export type RecentIds = { add: (id: string) => void, has: (id: string) => boolean }

/** Length in characters above which the digest of an id is kept, since callers choose their ids. */
const MAX_KEPT_LENGTH = 64

/** Creates an empty set that keeps the last `limit` ids. */
export function createRecentIds (limit: number): RecentIds {
  const ids = new Set<string>()
  return {
    add: (id) => {
      ids.add(keyOf(id))
      if (ids.size <= limit) return
      const oldest = ids.values().next()
      if (oldest.done !== true) ids.delete(oldest.value)
    },
    has: (id) => ids.has(keyOf(id))
  }
}

function keyOf (id: string): string {
  return id.length <= MAX_KEPT_LENGTH ? id : createHash('sha256').update(id).digest('base64')
}
