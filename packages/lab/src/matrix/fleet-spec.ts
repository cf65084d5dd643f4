import { listsSchema } from '@orioleslip/core'
import type { FleetSpec, VmSpec } from '../fleet/fleet.js'

/** Time for which the target works on a call, in ms. */
export const WORK_MS = 400
/** Pause in the middle of each response, in ms. */
export const RESPONSE_PAUSE_MS = 400

const DRAIN_TIMEOUT_S = 5

/**
 * Two entry nodes and two targets in two failure domains. The router prefers its own failure domain, so a call that enters at "entry-1"
 * runs at "desk-1" as long as that VM is available.
 */
export function matrixFleet (runLog: string): FleetSpec {
  const operation = { service: 'desk', repeatable: true, timeoutMs: 4000 }
  const lists = listsSchema.parse({
    customers: { branch: 'branch' },
    plans: {
      branch: {
        ratePerSecond: 1000,
        burst: 1000,
        operations: [
          { ...operation, method: 'POST', path: '/claims', importance: 'claim', repeatable: false },
          { ...operation, method: 'GET', path: '/shifts/:id', importance: 'browse' },
          { ...operation, method: 'PUT', path: '/sheets/:id', importance: 'upload' }
        ]
      }
    }
  })
  const target = { service: 'desk', slots: 20, workMs: WORK_MS, answerPauseMs: RESPONSE_PAUSE_MS, runLog }
  const node = { drainTimeoutS: DRAIN_TIMEOUT_S }
  const vms: VmSpec[] = ['a', 'b'].flatMap((domain, i) => [
    { vmId: `entry-${i + 1}`, region: 'r1', failureDomain: domain, node },
    { vmId: `desk-${i + 1}`, region: 'r1', failureDomain: domain, node, target }
  ])
  const controls = ['a', 'b', 'c'].map((domain) => ({ vmId: `control-${domain}`, region: 'r1', failureDomain: domain }))
  return { controls, vms, lists }
}
