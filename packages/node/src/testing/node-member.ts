import type { Member, TargetState } from '@orioleslip/core'

/** A reachable node of the fleet beside a target of `service`; its address is its VM id. */
export const nodeMember = (vmId: string, service: string, state: TargetState = 'ready'): Member => ({
  liveness: 'alive',
  record: {
    vmId,
    incarnation: 1,
    version: 1,
    role: 'node',
    host: vmId,
    peerPort: 1,
    callerPort: 1,
    gossipPort: 1,
    region: 'r',
    failureDomain: 'd',
    target: { service, capacity: 10, state }
  }
})
