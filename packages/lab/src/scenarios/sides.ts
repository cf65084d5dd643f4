import { startFleet, type Fleet } from '../fleet/fleet.js'
import { fleetSpecOf, type Side } from './fleet-spec.js'
import type { Scenario } from './schema.js'

export const SIDES: Side[] = ['product', 'baseline']

// Nodes raise the limit of a new target over 10 s; a measurement during that time would show the ramp.
const RAMP_MS = 11_000

/** Starts the scenario's fleet for one side, runs `measure` on it and stops it again. */
export async function withFleet<T> (
  scenario: Scenario, side: Side, measure: (fleet: Fleet) => Promise<T>, keepFolder: boolean
): Promise<T> {
  const fleet = await startFleet(fleetSpecOf(scenario, side))
  try {
    await new Promise((resolve) => setTimeout(resolve, RAMP_MS))
    const result = await measure(fleet)
    if (keepFolder) process.stdout.write(`logs of the ${side} fleet: ${fleet.folder}\n`)
    return result
  } finally {
    await fleet.stop(keepFolder)
  }
}
