import type { CrashGuard } from './crash-guard.js'

/** The part of the crash guard that the executor uses. */
export type ExecutorCrashes = Pick<CrashGuard, 'admit' | 'refusalBeforeSend' | 'started' | 'completed'>

/** Lets all calls run, for those without a fingerprint. */
export const noCrashGuard: ExecutorCrashes = {
  admit: () => ({ kind: 'run', asSuspect: false, release: () => {} }),
  refusalBeforeSend: () => undefined,
  started: (fingerprint) => ({ fingerprint, ended: () => {}, lost: () => Promise.resolve(false) }),
  completed: () => {}
}
