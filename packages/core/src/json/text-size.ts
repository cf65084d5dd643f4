import { HEAP_BYTES } from './heap-size.js'

/** What a JSON text yields once parsed: its levels of arrays and objects, and its heap as `estimateHeapBytes` counts it. */
export type JsonTextSize = { levels: number, heapBytes: number }

const QUOTE = 0x22
const BACKSLASH = 0x5c
const SPACE = 0x20
const COLON = 0x3a
const COMMA = 0x2c
const MINUS = 0x2d
const DIGIT_0 = 0x30
const DIGIT_9 = 0x39
const ARRAY_START = 0x5b
const ARRAY_END = 0x5d
const OBJECT_START = 0x7b
const OBJECT_END = 0x7d
/** Characters of `\uXXXX` behind the one of a short escape. */
const LONG_ESCAPE_CHARS = 4

/**
 * Measures a JSON text without parsing it: a parser builds the whole value, which can take thirty times the text, before anything else can
 * judge it. A text that is not JSON is measured as well; its first part up to the error, which a parser builds, counts at least.
 */
export function measureJsonText (text: string): JsonTextSize {
  let level = 0
  let levels = 0
  // Each value below counts as an element of an array; the outermost one is none.
  let heapBytes = -HEAP_BYTES.element
  /** Bytes counted for a string that is a key if a colon comes next. */
  let keyBytes = 0
  for (let at = 0; at < text.length;) {
    const code = text.charCodeAt(at)
    if (code <= SPACE) {
      at++
      continue
    }
    const keyBefore = keyBytes
    keyBytes = 0
    let end = at + 1
    switch (code) {
      case ARRAY_START: case OBJECT_START:
        levels = Math.max(levels, ++level)
        heapBytes += HEAP_BYTES.element + (code === ARRAY_START ? HEAP_BYTES.array : HEAP_BYTES.object)
        break
      case ARRAY_END: case OBJECT_END:
        level--
        break
      case QUOTE: {
        const string = scanString(text, end)
        end = string.end
        keyBytes = HEAP_BYTES.element + HEAP_BYTES.string + string.chars
        heapBytes += keyBytes
        break
      }
      case COLON:
        // The value of a property is no element either. Colons without a key leave the sum as it is.
        if (keyBefore > 0) heapBytes += HEAP_BYTES.property - HEAP_BYTES.element - keyBefore
        break
      case COMMA:
        break
      default:
        end = endOfWord(text, end)
        heapBytes += HEAP_BYTES.element + (code === MINUS || (code >= DIGIT_0 && code <= DIGIT_9) ? HEAP_BYTES.number : 0)
    }
    at = end
  }
  return { levels, heapBytes }
}

/** Finds the end of a string from its first character on, and counts its characters. */
function scanString (text: string, start: number): { end: number, chars: number } {
  let chars = 0
  let at = start
  for (; at < text.length; at++, chars++) {
    const code = text.charCodeAt(at)
    if (code === QUOTE) return { end: at + 1, chars }
    if (code === BACKSLASH) {
      at++
      if (text[at] === 'u') at += LONG_ESCAPE_CHARS
    }
  }
  return { end: at, chars }
}

/** Finds the end of a number or of a literal. */
function endOfWord (text: string, start: number): number {
  let at = start
  for (; at < text.length; at++) {
    const code = text.charCodeAt(at)
    if (code <= SPACE || code === COMMA || code === COLON || code === QUOTE) return at
    if (code === ARRAY_START || code === ARRAY_END || code === OBJECT_START || code === OBJECT_END) return at
  }
  return at
}
