import { notRun, type EntryAdmission, type LoadReport, type Quotas, type TargetGate } from '@orioleslip/core'

/** Entry admission that admits every request; used when overload control is disabled for a comparison. */
export const unlimitedAdmission: EntryAdmission = { check: () => undefined, recordPathLevel: () => {}, level: () => 0 }

/** Quotas that grant every request; used when overload control is disabled for a comparison. */
export const unlimitedQuotas: Quotas = {
  take: () => ({ kind: 'granted' }),
  grant: ({ tokens }) => ({ tokens, validMs: 1000 })
}

/**
 * Creates a gate that gives every call a permit immediately; used when overload control is disabled for a comparison.
 * It reports the announced capacity as its limit, so that routing still prefers the less loaded target.
 */
export function createUnlimitedGate (): TargetGate {
  let capacity = 0
  let inFlight = 0
  return {
    enter: async () => {
      if (capacity === 0) return { kind: 'refused', refusal: notRun('no-target', 'no target has announced itself beside this node', 1) }
      inFlight++
      let released = false
      return {
        kind: 'permit',
        permit: {
          release: () => {
            if (!released) inFlight--
            released = true
          }
        }
      }
    },
    load: (): LoadReport => ({ level: 0, inFlight, queued: 0, limit: capacity }),
    targetStarted: (announced) => { capacity = announced },
    setRateLimit: () => {},
    tick: () => {},
    underPressure: () => false,
    onPressure: () => {}
  }
}
