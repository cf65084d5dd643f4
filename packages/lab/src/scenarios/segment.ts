import type { Fleet } from '../fleet/fleet.js'
import { tallyPhases, timelineOf, type PhaseReport, type Timeline } from '../load/accounting.js'
import { runLoad } from '../load/run-load.js'
import { createSchedule, type RatePhase } from '../load/schedule.js'
import { countersSince, readCounters, type FleetCounters } from './counters.js'
import { startEvents, type EventRecord } from './events.js'
import { loadOperationsOf } from './fleet-spec.js'
import { watchGates, type GateSample } from './gates.js'
import { watchMachine, type MachineLoad } from './machine-load.js'
import type { Scenario, ScenarioEvent } from './schema.js'

/** A period of load on a running fleet; event times are relative to its start. */
export type Segment = {
  phases: RatePhase[]
  events: ScenarioEvent[]
  seed: number
  /** Distinguishes the idempotency keys of segments on one fleet. */
  id: string
  /** Time at the start of each phase that is not measured, in s. */
  settleS: number
}

/** Results of one segment. */
export type SegmentReport = {
  phases: PhaseReport[]
  timeline: Timeline
  counters: FleetCounters
  /** Attempts of clients beyond the first. */
  resends: number
  events: EventRecord[]
  machine: MachineLoad
  /** State of the target gates over time, for diagnosis. */
  gates: GateSample[]
}

/** Resolution of the timelines, in ms. */
export const BUCKET_MS = 250

/** Runs one segment and aggregates its results. */
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
  const stopMachineWatch = watchMachine()
  let stopGateWatch: (() => GateSample[]) | undefined
  let stopEvents: (() => Promise<EventRecord[]>) | undefined
  const results = await runLoad({
    arrivals,
    operations,
    customers,
    entries: fleet.vms.map((vm) => vm.url),
    behaviour: scenario.clients,
    runId: `${segment.id} ${segment.seed}`,
    onStart: () => {
      stopEvents = startEvents(fleet, segment.events, scenario.coldStartMs)
      stopGateWatch = watchGates(fleet)
    }
  })
  const events = await stopEvents?.() ?? []
  return {
    phases: tallyPhases(arrivals, results, segment.phases, operations.map((op) => op.name), segment.settleS),
    timeline: timelineOf(arrivals, results, segment.phases, operations.length, BUCKET_MS),
    counters: countersSince(before, await readCounters(fleet)),
    resends: results.reduce((sum, result) => sum + result.tries - 1, 0),
    events,
    machine: stopMachineWatch(),
    gates: stopGateWatch?.() ?? []
  }
}

/** Demand of the steps of the peak search, as multiples of the nominal capacity. */
const PEAK_STEPS = [0.7, 0.85, 1, 1.15, 1.3]
const STEP_S = 4
const STEP_SETTLE_S = 1

/** Peak goodput and the steps of its search. */
export type PeakReport = { perSecond: number, steps: Array<{ demandPerSecond: number, goodputPerSecond: number }>, segment: SegmentReport }

/** Raises the demand in steps; the peak is the highest goodput of a step. */
export async function findPeak (fleet: Fleet, scenario: Scenario, nominalPerSecond: number, seed: number): Promise<PeakReport> {
  const phases = PEAK_STEPS.map((factor) => ({ name: `step ${factor}`, perSecond: factor * nominalPerSecond, seconds: STEP_S }))
  const segment = await runSegment(fleet, scenario, { phases, events: [], seed, id: 'peak', settleS: STEP_SETTLE_S })
  const steps = segment.phases.map((phase) => ({ demandPerSecond: phase.perSecond, goodputPerSecond: phase.goodputPerSecond }))
  return { perSecond: Math.max(...steps.map((step) => step.goodputPerSecond)), steps, segment }
}
