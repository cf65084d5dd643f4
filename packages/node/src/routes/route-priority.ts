import { fnv1a, PRIORITY_BAND } from '@orioleslip/core'

/** Number of priority bands below the one reserved for control traffic. */
const BANDS = 3

/** Priority of a routed request. Rank 0 gets the highest band, ranks from 2 on the lowest; a hash of the id sets the place in the band. */
export function priorityOfRank (rank: number, requestId: string): number {
  const band = BANDS - 1 - Math.min(rank, BANDS - 1)
  return band * PRIORITY_BAND + fnv1a(requestId) % PRIORITY_BAND
}
