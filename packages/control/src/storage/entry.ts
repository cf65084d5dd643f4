/** A member of a log group. `storageId` identifies the disk content, so an emptied disk is another member. */
export type Member = { vmId: string, storageId: string, voter: boolean }

/** The members of a log group. */
export type Configuration = {
  /** Created by `init`; messages of another group are refused. */
  groupId: string
  members: Member[]
  /** VMs taken out by an operator; they don't rejoin by themselves. */
  excluded: string[]
}

/** A position of the replicated log. */
export type LogEntry = {
  index: number
  term: number
  body:
    /** Lets a new leader commit the entries of earlier terms. */
    | { kind: 'noop' }
    | { kind: 'command', cmd: unknown }
    | { kind: 'config', config: Configuration }
}

/** The state after applying all entries up to `lastIndex`. */
export type Snapshot = { lastIndex: number, lastTerm: number, config: Configuration, state: unknown }
