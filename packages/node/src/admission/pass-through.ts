import { notRun, type EntryAdmission, type LoadReport, type Quotas, type TargetGate } from '@orioleslip/core'

/** Admits every request; used when overload control is switched off for a comparison. */
export const openAdmission: EntryAdmission = { judge: () => undefined, learn: () => {}, level: () => 0 }

/** Grants every request; used when overload control is switched off for a comparison. */
export const openQuotas: Quotas = {
  take: () => ({ kind: 'granted' }),
  answer: ({ tokens }) => ({ tokens, validMs: 1000 })
}

/**
 * Passes every call on to the target at once; used when overload control is switched off for a comparison.
 * It reports the announced capacity as its limit, so that routing still prefers the less loaded target.
 */
export function createOpenGate (): TargetGate {
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
    tick: () => {}
  }
}
