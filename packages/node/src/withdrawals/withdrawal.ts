import { z } from 'zod'

/** Body of a withdrawal in messages between nodes. */
export const withdrawalSchema = z.strictObject({
  instance: z.string().min(1).max(64),
  /** Wall-clock time at which the process started, in ms; absent if the node had heard nothing of it. */
  startedMs: z.number().int().min(0).optional(),
  /** Sequence of the announcement in which a target said that it leaves; absent if all announcements of the process are void. */
  sequence: z.number().int().min(0).optional(),
  /** Time since the withdrawal, in ms. */
  ageMs: z.number().min(0)
})

/** A target process that has said that it leaves. */
export type Withdrawal = z.infer<typeof withdrawalSchema>

/** Time for which a withdrawal is remembered, in ms: announcements may arrive seconds late, and the process ends some seconds after it. */
export const WITHDRAWAL_MEMORY_MS = 60_000

type Sent = { startedMs?: number | undefined, sequence?: number | undefined }

/** The withdrawal of an instance now; that of an announcement with state `leaving` has its sequence. */
export function withdrawalOf ({ instance, startedMs, sequence }: Sent & { instance: string }): Withdrawal {
  return {
    instance,
    ageMs: 0,
    ...(startedMs === undefined ? {} : { startedMs }),
    ...(sequence === undefined ? {} : { sequence })
  }
}

/** True if the first of two withdrawals of an instance says all that the second one does. */
export function covers (first: Sent, second: Sent): boolean {
  if (first.startedMs === undefined || second.startedMs === undefined) return false
  return first.startedMs > second.startedMs || (first.startedMs === second.startedMs && first.sequence === undefined)
}
