import { createSeededRandom } from '@orioleslip/core'

/** Part of a run with a constant arrival rate. */
export type RatePhase = { name: string, perSecond: number, seconds: number }

/** One request of a client, scheduled before the run starts. `phase`, `operation`, `customer` and `entry` are indexes. */
export type Arrival = {
  id: number
  /** Time since the start of the run, in ms. */
  atMs: number
  phase: number
  operation: number
  customer: number
  /** Node to which the first try is sent. */
  entry: number
}

/** Parameters of a schedule; `customers` and `entries` are numbers to draw from. */
export type ScheduleOptions = {
  seed: number
  phases: RatePhase[]
  /** Relative frequency of each operation. */
  shares: number[]
  customers: number
  entries: number
}

/** Generates Poisson arrivals; equal options give equal arrivals. */
export function createSchedule ({ seed, phases, shares, customers, entries }: ScheduleOptions): Arrival[] {
  const random = createSeededRandom(seed)
  const total = shares.reduce((sum, share) => sum + share, 0)
  const pickOperation = (): number => {
    let remaining = random.next() * total
    for (let i = 0; i < shares.length; i++) {
      remaining -= shares[i]!
      if (remaining < 0) return i
    }
    return shares.length - 1
  }
  const arrivals: Arrival[] = []
  let phaseStartMs = 0
  phases.forEach((phase, index) => {
    const endMs = phaseStartMs + phase.seconds * 1000
    // Exponential interarrival times are memoryless, so each phase can start with a new draw.
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
