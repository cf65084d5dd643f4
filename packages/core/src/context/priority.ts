import type { Importance } from '../lists/schema.js'

/** Number of priorities; 0 is shed first, 255 last. */
export const PRIORITY_COUNT = 256
/** Width of the band of priorities of one importance class. */
export const PRIORITY_BAND = 64

const BAND_INDEX: Record<Importance, number> = { browse: 0, upload: 1, claim: 2 }

/** FNV-1a hash of a string, 32 bits. */
export function fnv1a (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i)
    hash = Math.imul(hash, 0x01000193)
  }
  // Final avalanche: FNV alone leaves the low bits of short, similar inputs correlated.
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}

/** Priority of a root request: its importance class selects the band, a hash of its trace id the position within the band. */
export function priorityOf (importance: Importance, traceId: string): number {
  return BAND_INDEX[importance] * PRIORITY_BAND + fnv1a(traceId) % PRIORITY_BAND
}

/** Importance class that a priority belongs to. */
export function importanceOf (priority: number): Importance {
  if (priority < PRIORITY_BAND) return 'browse'
  return priority < 2 * PRIORITY_BAND ? 'upload' : 'claim'
}
