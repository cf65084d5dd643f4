import {
  notRun, unknownOutcome, type Clock, type FinishedRun, type KeyClaim, type KeyId, type KeyRegister, type Refusal,
  type StoredAnswer
} from '@orioleslip/core'
import { createBackground, type OnceLog } from './background.js'
import { refusalOfFinished } from './refusals.js'
import { newClaimId } from './token.js'
import { createBackoff, within } from './within.js'

/** A non-repeatable call at its executor. */
export type OnceCall = KeyId & {
  /** From the entry node, see `newAttemptToken`; each attempt that the entry node sends needs one of its own. */
  token: string
  opKey: string
  requestHash: string
  /** Deadline on this node's clock (`nowMs`). */
  deadlineMs: number
  /** Aborts when the peer cancels the call or its link is lost. */
  signal?: AbortSignal
}

/**
 * Permission to dispatch once. Exactly one of the functions is called after it; neither when the target's outcome is unknown, which
 * leaves the key `dispatched`. The records go on in the background until the register has them; nobody needs to wait.
 */
export type OnceRun = {
  /** Records a complete response. Resolves when it is recorded, at the latest after one second, so that a caller can be answered then. */
  finished: (run: FinishedRun) => Promise<void>
  /**
   * Undoes the claim; allowed only when no byte of the request was written to the target and none will be.
   * Resolves when it is undone or given up.
   */
  notSent: () => Promise<void>
}

export type Beginning =
  | { kind: 'dispatch', run: OnceRun }
  | { kind: 'replay', answer: StoredAnswer }
  | { kind: 'refuse', refusal: Refusal }

export type OnceGuardOptions = {
  register: KeyRegister
  clock: Clock
  log: OnceLog
  vmId: string
  /** Longest time without a reply of the register before a call is refused, in ms; covers a leader election. */
  registerPatienceMs?: number
}

const RETRY_AFTER_REGISTER_S = 2
const RETRY_AFTER_FULL_S = 60
// Longest wait for the record of a finished run, in ms. A complete answer must reach its caller while the register is away.
const FINISH_WAIT_MS = 1000
// Longest deadline of a claim, in ms; half the time for which the register accepts a token.
const DEADLINE_LIMIT_MS = 3_600_000
// The monotonic clock stops while a VM is suspended. A call whose wall-clock time exceeds its deadline by this, in ms, is not dispatched:
// its key's record may have expired meanwhile and another call with the key may have run.
const SUSPENSION_MS = 60_000

/** Creates the guard that lets each key's call reach the target at most once. */
export function createOnceGuard ({ register, clock, log, vmId, registerPatienceMs = 3000 }: OnceGuardOptions) {
  const background = createBackground(clock, log)

  async function begin (call: OnceCall): Promise<Beginning> {
    const { customer, key, token, opKey, requestHash, signal } = call
    const id: KeyId = { customer, key }
    const claim: Omit<KeyClaim, 'timeoutMs'> = { customer, key, token, opKey, requestHash, executorVm: vmId, claimId: newClaimId() }
    const deadlineMs = Math.min(call.deadlineMs, clock.nowMs() + DEADLINE_LIMIT_MS)
    const remainingMs = () => deadlineMs - clock.nowMs()
    const latestWallMs = clock.wallMs() + Math.max(0, remainingMs()) + SUSPENSION_MS
    const isOver = () => signal?.aborted === true || remainingMs() <= 0 || clock.wallMs() > latestWallMs
    const registerBackoff = createBackoff(25, 500)
    const keyBackoff = createBackoff(25, 1000)
    let lastReplyMs = clock.nowMs()
    let busy: { executorVm: string, remainingMs: number } | undefined
    let mayBeGranted = false

    // Nobody else can dispatch under this claim id, and this function never does after it has refused: the call can't run any more.
    function refuse (refusal: Refusal): Beginning {
      if (mayBeGranted) background.start('release', id, () => register.release(id, token))
      return { kind: 'refuse', refusal }
    }

    while (!isOver()) {
      const patienceMs = Math.min(remainingMs(), lastReplyMs + registerPatienceMs - clock.nowMs())
      if (patienceMs <= 0) break
      const reply = await within(clock, patienceMs, register.claim({ ...claim, timeoutMs: Math.max(0, remainingMs()) }), signal)
      if (reply === undefined) {
        mayBeGranted = true
        continue
      }
      if (reply.isErr()) {
        if (reply.error.outcome === 'unknown') mayBeGranted = true
        await clock.sleep(Math.min(registerBackoff(), Math.max(0, remainingMs())), signal)
        continue
      }
      lastReplyMs = clock.nowMs()
      const result = reply.value
      switch (result.kind) {
        case 'granted':
          mayBeGranted = true
          busy = undefined
          if (isOver()) continue
          return { kind: 'dispatch', run: createRun(id, token) }
        case 'mismatch':
          return refuse(notRun('key-reused', 'an earlier request with this key had another operation, path, query or body'))
        case 'finished':
          if (result.run.answer !== undefined) return { kind: 'replay', answer: result.run.answer }
          return refuse(refusalOfFinished(result.run))
        case 'expired':
          return refuse(unknownOutcome('key-expired', 'the time in the key is before the retention time; the key may have run then'))
        case 'full':
          return refuse(notRun('register-unavailable', 'the key register holds its maximum of keys', RETRY_AFTER_FULL_S))
        case 'cancelled':
          return refuse(notRun('target-lost', 'the token of the call was cancelled before it was dispatched'))
        case 'dispatched':
          if (result.remainingMs <= 0) {
            return refuse(unknownOutcome('outcome-unknown', `${result.executorVm} dispatched the first call and recorded no outcome by its deadline`))
          }
          busy = result
          await clock.sleep(Math.min(keyBackoff(), Math.max(0, remainingMs())), signal)
      }
    }
    if (busy !== undefined) {
      return refuse(unknownOutcome('key-in-progress', `${busy.executorVm} is running the first call`, Math.ceil(busy.remainingMs / 1000)))
    }
    if (!isOver()) return refuse(notRun('register-unavailable', 'the key register gave no answer', RETRY_AFTER_REGISTER_S))
    return refuse(notRun('deadline-exceeded', 'the deadline passed or the call was cancelled before it was dispatched'))
  }

  function createRun (id: KeyId, token: string): OnceRun {
    let closed = false
    function once (what: string, command: Parameters<typeof background.start>[2]): Promise<void> {
      if (closed) return Promise.resolve()
      closed = true
      return background.start(what, id, command)
    }
    return {
      finished: async (run) => {
        const recorded = once('finish', () => register.finish(id, token, run))
        await within(clock, FINISH_WAIT_MS, recorded.then(() => ({})))
      },
      notSent: () => once('release', () => register.release(id, token))
    }
  }

  return {
    begin,
    /** Number of records that wait for the register. */
    pendingRecords: background.pending,
    /** Resolves when no record waits for the register; for the planned stop. */
    idle: background.idle,
    /** Ends the background work; keys not yet recorded stay `dispatched`. */
    stop: background.stop
  }
}
export type OnceGuard = ReturnType<typeof createOnceGuard>
