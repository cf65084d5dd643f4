/** State of a target as announced by it and seen by the node beside it. */
export type TargetState = 'starting' | 'ready' | 'leaving' | 'gone'

/** What a node tells the fleet about the target beside it. */
export type TargetRecord = {
  service: string
  /** Calls that the target says it can run at once. */
  capacity: number
  state: TargetState
}

/** One process of the fleet as the members know it. */
export type MemberRecord = {
  vmId: string
  /** Grows with each start of the process and each refuted suspicion; the higher one wins. */
  incarnation: number
  /** Grows with each change of the record within one incarnation. */
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
  /** Absent when no target has announced itself beside this node. */
  target?: TargetRecord
}

/** How sure the failure detector is that a member works. */
export type Liveness = 'alive' | 'suspect' | 'failed' | 'left'

/** A member and what this node thinks of it. */
export type Member = { record: MemberRecord, liveness: Liveness }

/** Read access to the member table of this node. */
export type MembersView = {
  self: () => MemberRecord
  /** Every known member, this node included. */
  all: () => Member[]
  /** Members whose target belongs to the service, whatever their state. The array must not be changed. */
  ofService: (service: string) => readonly Member[]
  /** Members not yet forgotten, failed ones included. */
  knownCount: () => number
  /** Calls back after each change of the table; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
}
