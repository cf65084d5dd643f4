/** Location of a VM. */
export type Place = { region: string, failureDomain: string }

/** One-way delays of simulated links, in ms. */
export type LinkDelays = { betweenDomainsMs: number, betweenRegionsMs: number }

/** Link delays, and the location of the VM that listens on each port of a fleet. */
export type LinkPlan = LinkDelays & { places: Record<number, Place> }

/** One-way delay from a VM to a port, in ms; 0 within a failure domain and for unknown ports. */
export function linkDelayMs (plan: LinkPlan, from: Place, port: number): number {
  const to = plan.places[port]
  if (to === undefined) return 0
  if (to.region !== from.region) return plan.betweenRegionsMs
  return to.failureDomain === from.failureDomain ? 0 : plan.betweenDomainsMs
}
