/** A member of a log group. `storageId` identifies the disk content, so a VM whose disk was erased is a new member. */
export type Member = { vmId: string, storageId: string, voter: boolean }

/** The members of a log group. */
export type Configuration = {
  /** Created by `init`; messages of another group are refused. */
  groupId: string
  members: Member[]
  /** VMs excluded by an operator; they can't rejoin until they are readmitted. */
  excluded: string[]
}

/** An entry of the replicated log. */
export type LogEntry = {
  index: number
  term: number
  body:
    /** Appended by a new leader, which commits the entries of earlier terms together with it. */
    | { kind: 'noop' }
    | { kind: 'command', cmd: unknown }
    | { kind: 'config', config: Configuration }
}

/** State of the state machine after applying all entries up to `lastIndex`. */
export type Snapshot = { lastIndex: number, lastTerm: number, config: Configuration, state: unknown }
