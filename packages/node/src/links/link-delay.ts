import { systemClock, type Clock } from '@orioleslip/core'

/** Smallest difference by which the wall clock runs ahead of the monotonic one after a suspension of the machine, in ms. */
const MIN_SUSPENSION_MS = 100
/** Period after which the shortest transfer is looked for anew, in ms: the clocks of two machines drift apart by a few ms in it. */
const BASE_PERIOD_MS = 10_000
/** Largest part of a second by which two clocks that are being adjusted drift apart in a second. */
const MAX_DRIFT = 0.002

/**
 * Creates the clock whose time senders put on their messages, in whole ms. It also counts times in which the machine was suspended, which
 * the monotonic clock leaves out. A step of the wall clock back is ignored, and one forward makes no difference to the receiver.
 */
export function createStampClock (clock: Clock): () => number {
  let lastMs = clock.nowMs()
  let lastWallMs = clock.wallMs()
  let suspendedMs = 0
  return () => {
    const nowMs = clock.nowMs()
    const wallMs = clock.wallMs()
    const aheadMs = (wallMs - lastWallMs) - (nowMs - lastMs)
    if (aheadMs > MIN_SUSPENSION_MS) suspendedMs += aheadMs
    lastMs = nowMs
    lastWallMs = wallMs
    return Math.floor(nowMs + suspendedMs)
  }
}

/** The time that this process puts on its messages. */
export const stampMs = createStampClock(systemClock)

/** Measures how long the messages of a connection wait on their way. */
export type LinkDelay = {
  /**
   * Returns the time for which a message that is read now waited, on both machines and between them, beyond the fastest one of late, in ms.
   * The time since it was stamped is at least as long.
   */
  waitedMs: (sentMs: number) => number
}

/** Creates the measurement of one connection. The clocks at its ends differ by an unknown time, so that only differences count. */
export function createLinkDelay (clock: Clock = systemClock): LinkDelay {
  let periodEndMs = clock.nowMs() + BASE_PERIOD_MS
  let shortestMs = Infinity
  let previousShortestMs = Infinity
  return {
    waitedMs: (sentMs) => {
      const nowMs = clock.nowMs()
      if (nowMs >= periodEndMs) {
        // The first transfer after a pause may be a slow one.
        previousShortestMs = shortestMs + Math.max(0, nowMs - periodEndMs - BASE_PERIOD_MS) * MAX_DRIFT
        shortestMs = Infinity
        periodEndMs = nowMs + BASE_PERIOD_MS
      }
      const transferMs = nowMs - sentMs
      shortestMs = Math.min(shortestMs, transferMs)
      return transferMs - Math.min(shortestMs, previousShortestMs)
    }
  }
}
