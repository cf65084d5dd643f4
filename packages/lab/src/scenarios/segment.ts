import type { Fleet } from '../fleet/fleet.js'
import { tallyPhases, timelineOf, type PhaseReport, type Timeline } from '../load/accounting.js'
import { runLoad } from '../load/run-load.js'
import { createSchedule, type RatePhase } from '../load/schedule.js'
import { countersSince, readCounters, type FleetCounters } from './counters.js'
import { startEvents, type EventNote } from './events.js'
import { loadOperationsOf } from './fleet-spec.js'
import { watchGates, type GateSample } from './gates.js'
import { watchMachine, type MachineLoad } from './machine-load.js'
import type { Scenario, ScenarioEvent } from './schema.js'

/** Load on a running fleet, with events at times from its start. */
export type Segment = {
  phases: RatePhase[]
  events: ScenarioEvent[]
  seed: number
  /** Distinguishes the idempotency keys of segments on one fleet. */
  id: string
  /** Start of each phase that does not count, in s. */
  settleS: number
}

export type SegmentReport = {
  phases: PhaseReport[]
  timeline: Timeline
  counters: FleetCounters
  /** Tries of clients beyond the first. */
  resends: number
  events: EventNote[]
  machine: MachineLoad
  /** State of the gates in front of the targets, for finding causes. */
  gates: GateSample[]
}

export const BUCKET_MS = 250

/** Runs one segment and adds up what came back. */
export async function runSegment (fleet: Fleet, scenario: Scenario, segment: Segment): Promise<SegmentReport> {
  const operations = loadOperationsOf(scenario)
  const { customers } = scenario.lists
  const arrivals = createSchedule({
    seed: segment.seed,
    phases: segment.phases,
    shares: operations.map((op) => op.share),
    customers: customers.length,
    entries: fleet.vms.length
  })
  const before = await readCounters(fleet)
  const machine = watchMachine()
  let endGates: (() => GateSample[]) | undefined
  let endEvents: (() => Promise<EventNote[]>) | undefined
  const results = await runLoad({
    arrivals,
    operations,
    customers,
    entries: fleet.vms.map((vm) => vm.url),
    behaviour: scenario.clients,
    runId: `${segment.id} ${segment.seed}`,
    onStart: () => {
      endEvents = startEvents(fleet, segment.events, scenario.coldStartMs)
      endGates = watchGates(fleet)
    }
  })
  const events = await endEvents?.() ?? []
  return {
    phases: tallyPhases(arrivals, results, segment.phases, operations.map((op) => op.name), segment.settleS),
    timeline: timelineOf(arrivals, results, segment.phases, operations.length, BUCKET_MS),
    counters: countersSince(before, await readCounters(fleet)),
    resends: results.reduce((sum, result) => sum + result.tries - 1, 0),
    events,
    machine: machine(),
    gates: endGates?.() ?? []
  }
}

/** Demand of the steps in the search for the peak, in factors of the nominal capacity. */
const PEAK_STEPS = [0.7, 0.85, 1, 1.15, 1.3]
const STEP_S = 4
const STEP_SETTLE_S = 1

export type PeakReport = { perSecond: number, steps: Array<{ demandPerSecond: number, goodputPerSecond: number }>, segment: SegmentReport }

/** Steps the demand up and takes the step with the highest goodput. */
export async function findPeak (fleet: Fleet, scenario: Scenario, nominalPerSecond: number, seed: number): Promise<PeakReport> {
  const phases = PEAK_STEPS.map((factor) => ({ name: `step ${factor}`, perSecond: factor * nominalPerSecond, seconds: STEP_S }))
  const segment = await runSegment(fleet, scenario, { phases, events: [], seed, id: 'peak', settleS: STEP_SETTLE_S })
  const steps = segment.phases.map((phase) => ({ demandPerSecond: phase.perSecond, goodputPerSecond: phase.goodputPerSecond }))
  return { perSecond: Math.max(...steps.map((step) => step.goodputPerSecond)), steps, segment }
}
