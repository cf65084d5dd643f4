import { headerValue } from '@orioleslip/core'
import { createRecentIds } from '../net/recent-ids.js'
import { createCopyScanner, type CopyScanner } from './copy-scanner.js'

/** Recognises copies of responses that a target writes into the bodies of others. */
export type CopyDetection = {
  /** Notes a call that is sent to the target, whose response may come again. */
  callSent: (headers: readonly string[]) => void
  /** Creates the scanner of one body. */
  createScanner: () => CopyScanner
}

/** Number of calls whose responses are recognised when they come again. */
const MAX_RECENT_CALLS = 4096

/** Creates the detection for one target; `idHeader` is the header, in lower case, that the target copies from a call into its response. */
export function createCopyDetection (idHeader: string): CopyDetection {
  const ids = createRecentIds(MAX_RECENT_CALLS)
  return {
    callSent: (headers) => {
      const id = headerValue(headers, idHeader)
      if (id !== undefined) ids.add(id)
    },
    createScanner: () => createCopyScanner({ idHeader, isKnownId: ids.has })
  }
}
