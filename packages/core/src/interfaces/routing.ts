import type { LoadReport } from './admission.js'
import type { MemberRecord } from './members.js'

export type RouteChoice =
  | { kind: 'route', member: MemberRecord, crossesRegion: boolean }
  | { kind: 'none', reason: 'service-unknown' | 'no-target' | 'all-excluded' }

export type RouteRequest = {
  service: string
  /** VMs that this call has already tried. */
  exclude: ReadonlySet<string>
  /** False forbids other regions: retries, operations without inter-region volume, short deadlines. */
  mayCrossRegion: boolean
}

/** What the end of a call tells of its target; calls that their callers gave up tell nothing. */
export type TargetVerdict = 'sound' | 'faulty' | 'unknown'

/** Chooses the target VM for a call. */
export type Router = {
  pick: (req: RouteRequest) => RouteChoice
  /** Takes the load report that came with an answer. */
  learn: (vmId: string, load: LoadReport) => void
  /** Counts a call as sent to the VM until `settled`. */
  sent: (vmId: string) => void
  settled: (vmId: string, verdict: TargetVerdict) => void
}
