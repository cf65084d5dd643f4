import type { Clock, Random } from '@orioleslip/core'

/** Limit on repeated sends per service, for the fleet as a whole. */
export type RepeatBudgetSettings = {
  /** Repeats per first send. */
  ratio: number
  /** Additional repeats of the whole fleet in one window. */
  extra: number
  /** Length of the sliding window, in ms. */
  windowMs: number
}

/** This node's part of the repeat budget. */
export type RepeatBudget = {
  /** Counts the first send of a call to a service. */
  firstSent: (service: string) => void
  /** Takes one repeat; false when this node's part is used up. */
  take: (service: string) => boolean
}

/** Counts of one slot of the sliding window. */
type Slot = { index: number, first: number, repeats: number }

/** Number of slots into which the sliding window is divided. */
const SLOTS = 20
/** A repeated call can cause repeats at each level of the chain below it; this share per level keeps a chain of four within the ratio. */
const LEVEL_SHARE = 0.2

/** Dependencies of `createRepeatBudget`. */
export type RepeatBudgetOptions = { clock: Clock, random: Random, settings: RepeatBudgetSettings, nodes: () => number }

/**
 * Creates this node's part of the budget. Each node repeats at most a share of its own first sends plus its part of `extra`, so that the
 * sum over all nodes stays within the limit in any window without communication between them. A part is rarely a whole number, and at a
 * node with little traffic it is less than one, so it is rounded by chance, drawn once per window: over the fleet the parts still add up.
 */
export function createRepeatBudget (opts: RepeatBudgetOptions): RepeatBudget {
  const { clock, random, settings, nodes } = opts
  const services = new Map<string, Slot[]>()
  const slotMs = settings.windowMs / SLOTS

  let drawnWindow = -1
  let draw = 0

  const rounded = (part: number): number => {
    const window = Math.floor(clock.nowMs() / settings.windowMs)
    if (window !== drawnWindow) draw = random.next()
    drawnWindow = window
    return Math.floor(part + draw)
  }
  const slotsOf = (service: string): Slot[] => {
    const known = services.get(service)
    if (known !== undefined) return known
    const slots = Array.from({ length: SLOTS + 1 }, (): Slot => ({ index: -1, first: 0, repeats: 0 }))
    services.set(service, slots)
    return slots
  }
  const current = (service: string): Slot => {
    const index = Math.floor(clock.nowMs() / slotMs)
    const slot = slotsOf(service)[index % (SLOTS + 1)]!
    if (slot.index !== index) Object.assign(slot, { index, first: 0, repeats: 0 })
    return slot
  }
  return {
    firstSent: (service) => { current(service).first++ },
    take: (service) => {
      const slot = current(service)
      let first = 0
      let repeats = 0
      for (const other of slotsOf(service)) {
        if (other.index < slot.index - SLOTS) continue
        first += other.first
        repeats += other.repeats
      }
      const allowed = LEVEL_SHARE * (settings.ratio * first + settings.extra / Math.max(1, nodes()))
      if (repeats + 1 > rounded(allowed)) return false
      slot.repeats++
      return true
    }
  }
}
