import { fnv1a, PRIORITY_BAND } from '@orioleslip/core'

/** Bands below the one reserved for control. */
const BANDS = 3

/** Priority of a request on a route: rank 0 gets the highest band, ranks from 2 on share the lowest; a hash of its id sets the position. */
export function priorityOfRank (rank: number, requestId: string): number {
  const band = BANDS - 1 - Math.min(rank, BANDS - 1)
  return band * PRIORITY_BAND + fnv1a(requestId) % PRIORITY_BAND
}
