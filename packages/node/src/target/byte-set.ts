/** A set of bytes: element n is true if byte n is in it. */
export type ByteSet = readonly boolean[]

/** Creates the set of the bytes that `pattern` matches as characters of latin1. */
export function createByteSet (pattern: RegExp): ByteSet {
  return Array.from({ length: 256 }, (_, byte) => pattern.test(String.fromCharCode(byte)))
}
