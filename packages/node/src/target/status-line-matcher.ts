import { createByteSet } from './byte-set.js'

/** Finds the start of a status line, `HTTP/1.x ddd`, in bytes that are passed one after the other. */
export type StatusLineMatcher = {
  /** Returns true if `byte` completes the start of a status line. */
  push: (byte: number) => boolean
  /** True if the bytes so far end with a part of such a start. */
  hasPart: () => boolean
}

/** What each status line starts with. */
export const VERSION_START = 'HTTP/1.'

/** What each byte of the start may be. */
const START = [/H/, /T/, /T/, /P/, /\//, /1/, /\./, /[01]/, / /, /[1-5]/, /\d/, /\d/].map(createByteSet)

/** Creates a matcher; its work for a byte does not depend on the bytes before it. */
export function createStatusLineMatcher (): StatusLineMatcher {
  let matched = 0
  return {
    push: (byte) => {
      // Only the first byte of the start is an H, so that no other part of it can be the beginning of a further start.
      if (START[matched]![byte]) matched++
      else matched = START[0]![byte] ? 1 : 0
      if (matched < START.length) return false
      matched = 0
      return true
    },
    hasPart: () => matched > 0
  }
}
