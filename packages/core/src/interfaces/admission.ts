import type { Refusal } from '../errors/refusal.js'
import type { CancelSignal } from '../time/cancel.js'

/** Admission control for root requests at the entry node, based on the path levels received with responses. */
export type EntryAdmission = {
  /** Returns the refusal of a request, or undefined when it is admitted. */
  check: (entryOpKey: string, priority: number) => Refusal | undefined
  /** Records the path level received with the response to a root request of this operation. */
  recordPathLevel: (entryOpKey: string, pathLevel: number) => void
  /** Current estimate of the level below which requests of this operation are refused. */
  level: (entryOpKey: string) => number
}

/** How a call that held a permit ended. */
export type CallEnd =
  /** The call was not sent to the target, for example because its caller left while the body arrived. */
  | { kind: 'notSent' }
  /** `downstreamMs` is the part of the latency during which the target waited for its own calls to other services. */
  | { kind: 'answered', latencyMs: number, downstreamMs?: number }
  /** The response of the target says that it sheds load. */
  | { kind: 'targetShed', latencyMs: number }
  | { kind: 'failed', latencyMs: number }
  /** The caller disconnected or the deadline passed while the target was working. */
  | { kind: 'cancelled', latencyMs: number }

/** Permission to run one call at the target. */
export type Permit = { release: (end: CallEnd) => void }

/** A call that waits for a permit. */
export type GateRequest = {
  priority: number
  /** Operation key; latency baselines are kept per operation. */
  opKey: string
  /** Time left until the deadline, in ms. */
  remainingMs: number
  signal: CancelSignal
  /** True once transfer of an upload's body has started; such a call is never evicted from the queue in favor of another one. */
  bodyStarted?: () => boolean
}

export type GateResult = { kind: 'permit', permit: Permit } | { kind: 'refused', refusal: Refusal }

/** Rate that a target names in its responses, and how much of it is asked for. */
export type RateLoad = {
  /** Calls per second that the target gets. */
  perSecond: number
  /** Calls that arrive, those that are refused included, as a multiple of `perSecond`. */
  load: number
}

/** Load of a target as reported to other nodes with each response. */
export type LoadReport = {
  /** Admission level of this node, 0 to 255. */
  level: number
  inFlight: number
  queued: number
  /** Current concurrency limit. */
  limit: number
  /** Absent if the target names no rate. */
  rate?: RateLoad
}

/** Queue, concurrency limit and rate limit in front of the target. */
export type TargetGate = {
  enter: (req: GateRequest) => Promise<GateResult>
  load: () => LoadReport
  /** Sets the announced capacity and restarts the ramp-up of the limit; what another process named is forgotten. */
  targetStarted: (capacity: number, sameProcess?: boolean) => void
  /** Sets the rate that the target names, in calls per second; undefined when it names none. */
  setRateLimit: (perSecond: number | undefined) => void
  /** Recomputes the admission level; the owner calls it every `LEVEL_INTERVAL_MS` while the gate is under pressure. */
  tick: () => void
  /** True while calls are queued, have been dropped since the last tick, or are refused at the entry nodes. */
  underPressure: () => boolean
  /** Sets the listener that is called whenever the gate may have come under pressure. */
  onPressure: (listener: () => void) => void
}

/** Period of `TargetGate.tick`. */
export const LEVEL_INTERVAL_MS = 100
