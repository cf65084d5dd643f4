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
  /** Operation and the time until its deadline, in ms; without them a call leaves its region only when that is full. */
  need?: { opKey: string, availableMs: number }
}

/** A call that has ended, for the statistics of its region. */
export type EndedCall = {
  opKey: string
  /** Time from the dispatch to the end, in ms. */
  latencyMs: number
  /** True when the answer came; false when the call was given up, so that it would have taken longer. */
  answered: boolean
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
  /** Records how long a call to a target in `region` took. */
  recordLatency: (region: string, call: EndedCall) => void
}
