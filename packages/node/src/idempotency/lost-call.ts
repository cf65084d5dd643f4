import {
  notRun, unknownOutcome, withTimeout,
  type CancelSignal, type Clock, type KeyId, type KeyRegister, type Refusal, type RefusalCode, type StoredResponse
} from '@orioleslip/core'
import { refusalOfFinished } from './refusals.js'
import { createBackoff } from './backoff.js'

/** A call whose connection to the executor was lost after the entry node may have sent the head. */
export type LostCall = KeyId & {
  token: string
  /** Deadline on this node's clock (`nowMs`). */
  deadlineMs: number
  /** Aborts when the outcome can't be awaited any longer. */
  signal?: CancelSignal
  /** Refusal code that states the reason of the loss. */
  code: Extract<RefusalCode, 'target-lost' | 'deadline-exceeded' | 'bad-answer' | 'draining'>
}

/** Response to the caller of a lost call. */
export type LostCallVerdict = { kind: 'replay', answer: StoredResponse } | { kind: 'refuse', refusal: Refusal }

// Minimum time for the first cancel when the deadline is near or has passed, in ms: one quorum round trip between regions with a disk
// sync. Without it a call that never reached its executor would be reported as unknown.
const FIRST_CANCEL_MS = 250

/**
 * Determines the response to the caller after the connection to the executor was lost. The outcome is `not-run` only after a successful
 * cancel, after which the register no longer grants the token. A dispatched call is awaited until the deadline, because its executor may
 * still record the response.
 */
export async function resolveLostCall (deps: { register: KeyRegister, clock: Clock }, call: LostCall): Promise<LostCallVerdict> {
  const { register, clock } = deps
  const { customer, key, token, code, signal } = call
  const endMs = Math.max(call.deadlineMs, clock.nowMs() + FIRST_CANCEL_MS)
  const remainingMs = () => endMs - clock.nowMs()
  const backoff = createBackoff(25, 1000)
  let detail = 'the key register did not reply whether the call was dispatched'

  while (remainingMs() > 0 && signal?.aborted !== true) {
    const reply = await withTimeout(clock, remainingMs(), register.cancel({ customer, key }, token), signal)
    if (reply?.isOk()) {
      const result = reply.value
      switch (result.kind) {
        case 'cancelled':
          return { kind: 'refuse', refusal: notRun(code, 'the call had not been dispatched and its token is cancelled') }
        case 'finished':
          if (result.run.answer !== undefined) return { kind: 'replay', answer: result.run.answer }
          return { kind: 'refuse', refusal: refusalOfFinished(result.run) }
        case 'dispatched':
          detail = `${result.executorVm} dispatched the call and has recorded no outcome`
      }
    }
    await clock.sleep(Math.min(backoff(), Math.max(0, remainingMs())), signal)
  }
  return { kind: 'refuse', refusal: unknownOutcome(code, detail) }
}
