import { listsSchema } from '@orioleslip/core'
import type { FleetSpec, VmSpec } from '../fleet/fleet.js'

/** Customer of all requests. */
export const CUSTOMER = 'branch'

const WORK_MS = 100
const SLOTS = 30

/** Two services with one target in each of two failure domains; each operation of "desk" calls "people". */
export function rollingFleet (runLog: string): FleetSpec {
  const operation = { repeatable: true, timeoutMs: 10_000 }
  const lists = listsSchema.parse({
    customers: { [CUSTOMER]: 'branch' },
    plans: {
      branch: {
        ratePerSecond: 1000,
        burst: 1000,
        operations: [
          { ...operation, service: 'desk', method: 'POST', path: '/claims/:id', importance: 'claim', repeatable: false },
          { ...operation, service: 'desk', method: 'GET', path: '/shifts/:id', importance: 'browse' },
          { ...operation, service: 'desk', method: 'PUT', path: '/sheets/:id', importance: 'upload' },
          { ...operation, service: 'people', method: 'GET', path: '/profiles/:id', importance: 'browse' }
        ]
      }
    }
  })
  const profile = [{ service: 'people', method: 'GET' as const, path: '/profiles/1' }]
  const downstream = { 'POST /claims': profile, 'GET /shifts': profile, 'PUT /sheets': profile }
  const services = [{ service: 'desk', downstream }, { service: 'people', downstream: {} }]
  const vms: VmSpec[] = services.flatMap((target) => ['a', 'b'].map((domain) => ({
    vmId: `${target.service}-${domain}`, region: 'r1', failureDomain: domain, target: { ...target, slots: SLOTS, workMs: WORK_MS, runLog }
  })))
  const controls = ['a', 'b', 'c'].map((domain) => ({ vmId: `control-${domain}`, region: 'r1', failureDomain: domain }))
  return { controls, vms, lists }
}
