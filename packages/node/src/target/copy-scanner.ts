import { createHeaderLineReader } from './header-line-reader.js'
import { createStatusLineMatcher, VERSION_START } from './status-line-matcher.js'

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

const STATUS_LINE_START_BYTES = 'HTTP/1.1 200'.length
const LINE_FEED = 10
/** Longest head that is recognised, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024

/**
 * Creates a scanner for the heads of copied responses; only one with the id of a known call counts, other text may be part of a body. Each
 * byte is read once, whatever the bytes around it are, since the target chooses them.
 */
export function createCopyScanner ({ idHeader, isKnownId }: CopyScannerOptions): CopyScanner {
  const statusLines = createStatusLineMatcher()
  const line = createHeaderLineReader(idHeader)
  let hasCopy = false
  /** Length so far of the head whose header lines are read; 0 outside of one. */
  let headBytes = 0
  /** Length so far of the last status line in the current line; 0 if there is none. */
  let statusLineBytes = 0

  const endLine = (): void => {
    const header = line.end()
    hasCopy = headBytes > 0 && header.kind === 'header' && header.value !== undefined && isKnownId(header.value)
    // Of two heads with the same headers, the later one may be longer.
    if (statusLineBytes > 0) headBytes = statusLineBytes
    else if (header.kind === 'none') headBytes = 0
    statusLineBytes = 0
  }

  const push = (byte: number): void => {
    if (headBytes > 0) headBytes = lengthWithNext(headBytes)
    if (statusLineBytes > 0) statusLineBytes = lengthWithNext(statusLineBytes)
    if (statusLines.push(byte)) statusLineBytes = STATUS_LINE_START_BYTES
    if (byte === LINE_FEED) return endLine()
    if (headBytes === 0) return
    line.push(byte)
    if (!line.mayBeHeader()) headBytes = 0
  }

  const isText = () => headBytes === 0 && statusLineBytes === 0 && !statusLines.hasPart()

  const resultWithoutCopy = (): ScanResult => {
    if (headBytes > 0) return line.isEmpty() ? 'open' : 'head'
    return isText() ? 'clean' : 'open'
  }

  return (chunk) => {
    if (hasCopy) return 'copy'
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
    for (let at = 0; at < bytes.length; at++) {
      if (isText()) at = skipText(bytes, at)
      push(bytes[at]!)
      if (hasCopy) return 'copy'
    }
    return resultWithoutCopy()
  }
}

/** Length of a head with its next byte; 0 if it is then too long to be one. */
const lengthWithNext = (length: number) => length < MAX_HEAD_BYTES ? length + 1 : 0

/** Returns where the next status line may start, or a later byte that is not behind its start, in the bytes from `at` on. */
function skipText (bytes: Buffer, at: number): number {
  const found = bytes.indexOf(VERSION_START, at)
  return found >= 0 ? found : Math.max(at, bytes.length - VERSION_START.length + 1)
}
