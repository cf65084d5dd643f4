import type { FleetSpec, VmSpec } from '../fleet/fleet.js'
import type { TargetSpec } from '../target/stand-in-target.js'
import { demoLists } from './lists.js'

const DOMAINS = ['hofudborg-a', 'hofudborg-b']
const SHIFT = { service: 'listings', method: 'GET' as const, path: '/shifts/7' }
const PROFILE = { service: 'members', method: 'GET' as const, path: '/profiles/1' }

/** Three services on two VMs each; a claim runs through claims, listings and members. */
export function demoFleet (): FleetSpec {
  const services: Array<{ service: string, downstream: NonNullable<TargetSpec['downstream']> }> = [
    { service: 'claims', downstream: { 'POST /claims': [SHIFT] } },
    { service: 'listings', downstream: { 'GET /shifts': [PROFILE] } },
    { service: 'members', downstream: {} }
  ]
  const vms: VmSpec[] = services.flatMap((target) => DOMAINS.map((failureDomain, i) => ({
    vmId: `${target.service}-${i + 1}`, region: 'hofudborg', failureDomain, target: { ...target, slots: 10, workMs: 3 }
  })))
  const controls = ['a', 'b', 'c'].map((letter) => ({ vmId: `control-${letter}`, region: 'hofudborg', failureDomain: `hofudborg-${letter}` }))
  return { controls, vms, lists: demoLists() }
}
