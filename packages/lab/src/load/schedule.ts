import { createSeededRandom } from '@orioleslip/core'

/** Part of a run with a constant rate of arrivals. */
export type RatePhase = { name: string, perSecond: number, seconds: number }

/** One request of a client, fixed before the run starts. */
export type Arrival = {
  id: number
  /** Time since the start of the run, in ms. */
  atMs: number
  phase: number
  operation: number
  customer: number
  /** Node through which the first try enters. */
  entry: number
}

export type ScheduleOptions = {
  seed: number
  phases: RatePhase[]
  /** Relative frequency of each operation. */
  shares: number[]
  customers: number
  entries: number
}

/** Draws Poisson arrivals; equal options give equal arrivals. */
export function createSchedule ({ seed, phases, shares, customers, entries }: ScheduleOptions): Arrival[] {
  const random = createSeededRandom(seed)
  const total = shares.reduce((sum, share) => sum + share, 0)
  const pickOperation = (): number => {
    let left = random.next() * total
    for (let i = 0; i < shares.length; i++) {
      left -= shares[i]!
      if (left < 0) return i
    }
    return shares.length - 1
  }
  const arrivals: Arrival[] = []
  let phaseStartMs = 0
  phases.forEach((phase, index) => {
    const endMs = phaseStartMs + phase.seconds * 1000
    // Interarrival times have no memory, so each phase can start a new draw.
    let atMs = phaseStartMs
    while (phase.perSecond > 0) {
      atMs += -Math.log(1 - random.next()) * 1000 / phase.perSecond
      if (atMs >= endMs) break
      arrivals.push({
        id: arrivals.length, atMs, phase: index, operation: pickOperation(), customer: random.int(customers), entry: random.int(entries)
      })
    }
    phaseStartMs = endMs
  })
  return arrivals
}
