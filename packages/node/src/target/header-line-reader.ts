import { createByteSet } from './byte-set.js'

/** Reads header lines byte by byte, and keeps the value of one header. */
export type HeaderLineReader = {
  /** Takes the next byte of the line, except for the line feed that ends it. */
  push: (byte: number) => void
  /** Ends the line and starts the next one. */
  end: () => HeaderLine
  /** True before the first byte of a line. */
  isEmpty: () => boolean
  /** True while the bytes of the line are, or may become, a header line. */
  mayBeHeader: () => boolean
}

/** A line that has ended; `value` is undefined for other headers than the one that is looked for. */
export type HeaderLine = { kind: 'header', value: string | undefined } | { kind: 'none' }

type Position = 'name' | 'value' | 'carriage-return' | 'no-header'

const TAB = 9
const CARRIAGE_RETURN = 13
const SPACE = 32
const COLON = 58
const TOKEN = createByteSet(/[\w!#$%&'*+.^`|~-]/)

const lowerCase = (byte: number) => byte >= 65 && byte <= 90 ? byte + 32 : byte

/** Creates a reader that keeps the values of the header `name`, which is in lower case. */
export function createHeaderLineReader (name: string): HeaderLineReader {
  let position: Position = 'name'
  let lineBytes = 0
  let nameBytes = 0
  let isNamed = true
  let value: number[] = []
  /** Length of the value without the blanks at its end. */
  let valueBytes = 0

  const readName = (byte: number): Position => {
    if (byte === COLON && nameBytes > 0) {
      isNamed &&= nameBytes === name.length
      return 'value'
    }
    if (!TOKEN[byte]) return 'no-header'
    isNamed &&= lowerCase(byte) === name.charCodeAt(nameBytes)
    nameBytes++
    return 'name'
  }

  const readValue = (byte: number): void => {
    const isBlank = byte === SPACE || byte === TAB
    if (!isNamed || (isBlank && value.length === 0)) return
    value.push(byte)
    if (!isBlank) valueBytes = value.length
  }

  const next = (byte: number): Position => {
    switch (position) {
      case 'name':
        return byte === CARRIAGE_RETURN && nameBytes === 0 ? 'carriage-return' : readName(byte)
      case 'value':
        if (byte === CARRIAGE_RETURN) return 'carriage-return'
        readValue(byte)
        return 'value'
      case 'carriage-return':
      case 'no-header':
        return 'no-header'
    }
  }

  const endOfLine = (): HeaderLine => {
    const hasName = position === 'value' || (position === 'carriage-return' && nameBytes > 0)
    if (!hasName) return { kind: 'none' }
    return { kind: 'header', value: isNamed ? Buffer.from(value.slice(0, valueBytes)).toString('latin1') : undefined }
  }

  return {
    push: (byte) => {
      lineBytes++
      position = next(byte)
    },
    end: () => {
      const line = endOfLine()
      position = 'name'
      lineBytes = 0
      nameBytes = 0
      isNamed = true
      value = []
      valueBytes = 0
      return line
    },
    isEmpty: () => lineBytes === 0,
    mayBeHeader: () => position !== 'no-header'
  }
}
