import { startFleet, type Fleet } from '../fleet/fleet.js'
import { fleetSpecOf, type Variant } from './fleet-spec.js'
import type { Scenario } from './schema.js'

/** Variants in the order in which they run. */
export const VARIANTS: Variant[] = ['product', 'baseline']

// Nodes raise the limit of a new target over 10 s; a measurement during that time would include the ramp.
const RAMP_MS = 11_000

/** Starts the scenario's fleet of one variant, runs `measure` on it, and stops it even when `measure` fails. */
export async function withFleet<T> (
  scenario: Scenario, variant: Variant, measure: (fleet: Fleet) => Promise<T>, keepFolder: boolean
): Promise<T> {
  const fleet = await startFleet(fleetSpecOf(scenario, variant))
  try {
    await new Promise((resolve) => setTimeout(resolve, RAMP_MS))
    const result = await measure(fleet)
    if (keepFolder) process.stdout.write(`logs of the ${variant} fleet: ${fleet.folder}\n`)
    return result
  } finally {
    await fleet.stop(keepFolder)
  }
}
