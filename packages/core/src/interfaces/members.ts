/** State of a target, from its announcements and the observations of its local node. */
export type TargetState = 'starting' | 'ready' | 'leaving' | 'gone'

/** Record of a node's local target, disseminated with the node's member record. */
export type TargetRecord = {
  service: string
  /** Announced number of calls that the target can run concurrently. */
  capacity: number
  state: TargetState
}

/** Record of one process of the fleet, disseminated by gossip. */
export type MemberRecord = {
  vmId: string
  /** Increases with each start of the process and each refuted suspicion; the record with the higher incarnation wins. */
  incarnation: number
  /** Increases with each change of the record within one incarnation. */
  version: number
  role: 'node' | 'control'
  host: string
  /** TCP port of the peer listener (node) or of the control API (control). */
  peerPort: number
  /** TCP port for callers; 0 for control VMs. */
  callerPort: number
  /** UDP port for gossip. */
  gossipPort: number
  region: string
  failureDomain: string
  /** Absent when no local target has announced itself to this node. */
  target?: TargetRecord
}

/** State of a member according to the failure detector. */
export type Liveness = 'alive' | 'suspect' | 'failed' | 'left'

/** A member's record with its liveness as seen by this node. */
export type Member = { record: MemberRecord, liveness: Liveness }

/** Read access to the member table of this node. */
export type MembersView = {
  self: () => MemberRecord
  /** Every known member, this node included. */
  all: () => Member[]
  /** Members whose target belongs to the service, whatever their state. The array must not be changed. */
  ofService: (service: string) => readonly Member[]
  /** Number of members in the table, failed ones that are not yet removed included. */
  knownCount: () => number
  /** Calls back after each change of the table; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
}
