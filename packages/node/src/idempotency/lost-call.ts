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
  /** Aborts when the outcome can't be awaited any longer: the register is then asked once more at most, for a short time. */
  signal?: CancelSignal
  /** Refusal code that states the reason of the loss. */
  code: Extract<RefusalCode, 'target-lost' | 'deadline-exceeded' | 'bad-answer' | 'draining'>
}

/** Response to the caller of a lost call. */
export type LostCallVerdict = { kind: 'replay', answer: StoredResponse } | { kind: 'refuse', refusal: Refusal }

// Minimum time for the first cancel when the deadline is near or has passed, in ms: one quorum round trip between regions with a disk
// sync. Without it a call that never reached its executor would be reported as unknown.
const FIRST_CANCEL_MS = 250
// Longest time of a cancel that begins after `signal` has aborted, in ms. A node that stops ends 200 ms after the end of its drain, and the
// response has to be written before.
const LAST_CANCEL_MS = 100

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

  for (let isLast = false; remainingMs() > 0 && !isLast;) {
    isLast = signal?.aborted === true
    const cancel = register.cancel({ customer, key }, token)
    const reply = await (isLast ? withTimeout(clock, LAST_CANCEL_MS, cancel) : withTimeout(clock, remainingMs(), cancel, signal))
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
    if (!isLast) await clock.sleep(Math.min(backoff(), Math.max(0, remainingMs())), signal)
  }
  return { kind: 'refuse', refusal: unknownOutcome(code, detail) }
}
