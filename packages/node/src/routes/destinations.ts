import type { Destination, Route } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Chooses the service of each request in proportion to the weights of its route. */
export type DestinationChooser = (route: Route) => string

const MAX_ROUTES = 10_000

/** Creates a chooser that uses smooth weighted round robin, which matches the weights over short runs of requests as well. */
export function createDestinationChooser (): DestinationChooser {
  const credits = new LRUCache<string, { destinations: Destination[], credit: number[] }>({ max: MAX_ROUTES })
  return (route) => {
    if (route.destinations.length === 1) return route.destinations[0]!.service
    const known = credits.get(route.name)
    const isKnown = known?.destinations === route.destinations
    const state = isKnown ? known : { destinations: route.destinations, credit: route.destinations.map(() => 0) }
    if (state !== known) credits.set(route.name, state)
    let best = 0
    let total = 0
    route.destinations.forEach(({ weight }, i) => {
      total += weight
      state.credit[i]! += weight
      if (state.credit[i]! > state.credit[best]!) best = i
    })
    state.credit[best]! -= total
    return route.destinations[best]!.service
  }
}
