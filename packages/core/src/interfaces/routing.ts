import type { LoadReport } from './admission.js'
import type { MemberRecord } from './members.js'

export type RouteChoice =
  | { kind: 'route', member: MemberRecord, crossesRegion: boolean }
  | { kind: 'none', reason: 'service-unknown' | 'no-target' | 'all-excluded' }

export type RouteRequest = {
  service: string
  /** VMs that this call has already tried. */
  exclude: ReadonlySet<string>
  /** False keeps the call in its region, as for retries, operations without inter-region volume and short deadlines. */
  mayCrossRegion: boolean
}

/** Health of a target as shown by the end of a call; `unknown` for calls that their callers cancelled. */
export type TargetVerdict = 'sound' | 'faulty' | 'unknown'

/** Chooses the target VM for a call. */
export type Router = {
  pick: (req: RouteRequest) => RouteChoice
  /** Records the load report received with a response. */
  recordLoad: (vmId: string, load: LoadReport) => void
  /** Counts a call to the VM as in flight until `callEnded` is called. */
  callSent: (vmId: string) => void
  /** Ends the count of a call and records what it shows about the target. */
  callEnded: (vmId: string, verdict: TargetVerdict) => void
}
