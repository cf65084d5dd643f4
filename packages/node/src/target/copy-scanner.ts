import { headerValue } from '@orioleslip/core'

/**
 * What a body contains: the head of a response to a known call (`copy`), at its end so far a status line with the start of its headers
 * (`head`) or what may become one (`open`), or none of these.
 */
export type ScanResult = 'clean' | 'open' | 'head' | 'copy'

/** Scans the chunks of a body in order and returns what they contain so far. */
export type CopyScanner = (chunk: Uint8Array) => ScanResult

/** Dependencies of `createCopyScanner`. */
export type CopyScannerOptions = {
  /** Name, in lower case, of the header in which responses carry the id of their call. */
  idHeader: string
  /** True for the id of a call whose response the target may write again. */
  isKnownId: (id: string) => boolean
}

const EMPTY = Buffer.alloc(0)
const VERSION = 'HTTP/1.'
const STATUS_LINE_START = /^HTTP\/1\.[01] [1-5]\d\d/
const STATUS_LINE_START_BYTES = 'HTTP/1.1 200'.length
const HEADER_LINE = /^([\w!#$%&'*+.^`|~-]+):[ \t]*(.*?)[ \t]*$/
const HEADER_LINE_START = /^[\w!#$%&'*+.^`|~-]*(?:\r?$|:)/
/** Longest head that is recognised, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024

/** Creates a scanner for the heads of copied responses; only one with the id of a known call counts, other text may be part of a body. */
export function createCopyScanner ({ idHeader, isKnownId }: CopyScannerOptions): CopyScanner {
  let hasCopy = false
  /** End of the scanned bytes that may be the start of a head. */
  let open: Buffer = EMPTY

  return (chunk) => {
    if (hasCopy) return 'copy'
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
    const scanned = open.length === 0 ? bytes : Buffer.concat([open, bytes])
    let start = scanned.indexOf(VERSION)
    while (start >= 0) {
      const head = readHead(scanned.subarray(start, start + MAX_HEAD_BYTES))
      const id = headerValue(head.headers, idHeader)
      if (id !== undefined && isKnownId(id)) {
        hasCopy = true
        return 'copy'
      }
      if (head.isOpen) {
        open = Buffer.from(scanned.subarray(start))
        return head.endBytes > 0 && open.length > head.endBytes ? 'head' : 'open'
      }
      // A head that starts inside the lines that were read would have the same headers.
      start = scanned.indexOf(VERSION, start + Math.max(1, head.endBytes))
    }
    const startBytes = versionStartAtEnd(scanned)
    open = startBytes === 0 ? EMPTY : Buffer.from(scanned.subarray(scanned.length - startBytes))
    return startBytes === 0 ? 'clean' : 'open'
  }
}

/** Headers of the lines that have arrived whole, which end at `endBytes`; `isOpen` if more bytes may belong to the head. */
type PartialHead = { headers: string[], endBytes: number, isOpen: boolean }

/** Reads a status line and the header lines behind it, up to the first line that is none. */
function readHead (bytes: Buffer): PartialHead {
  const headers: string[] = []
  if (bytes.length < STATUS_LINE_START_BYTES) return { headers, endBytes: 0, isOpen: true }
  if (!STATUS_LINE_START.test(bytes.toString('latin1', 0, STATUS_LINE_START_BYTES))) return { headers, endBytes: 0, isOpen: false }
  let endBytes = bytes.indexOf('\n') + 1
  while (endBytes > 0) {
    const lineEnd = bytes.indexOf('\n', endBytes)
    if (lineEnd < 0) break
    const line = HEADER_LINE.exec(bytes.toString('latin1', endBytes, lineEnd).replace(/\r$/, ''))
    if (line === null) return { headers, endBytes, isOpen: false }
    headers.push(line[1]!.toLowerCase(), line[2]!)
    endBytes = lineEnd + 1
  }
  const mayGoOn = endBytes === 0 || HEADER_LINE_START.test(bytes.toString('latin1', endBytes))
  return { headers, endBytes, isOpen: mayGoOn && bytes.length < MAX_HEAD_BYTES }
}

/** Number of bytes at the end that may be the start of `VERSION`. */
function versionStartAtEnd (bytes: Buffer): number {
  const end = bytes.toString('latin1', Math.max(0, bytes.length - VERSION.length + 1))
  for (let length = end.length; length > 0; length--) if (VERSION.startsWith(end.slice(-length))) return length
  return 0
}
