/** Estimated size of the parts of a decoded value on a 64-bit heap, in bytes. */
const OBJECT_BYTES = 56
const PROPERTY_BYTES = 16
const ARRAY_BYTES = 48
const ELEMENT_BYTES = 8
const STRING_BYTES = 24
const NUMBER_BYTES = 16

/** Estimates the heap that a decoded JSON value takes; many small arrays and objects take a lot more than their text. */
export function estimateHeapBytes (value: unknown): number {
  const pending = [value]
  let bytes = 0
  while (pending.length > 0) {
    const item = pending.pop()
    if (typeof item === 'string') bytes += STRING_BYTES + item.length
    else if (typeof item === 'number') bytes += NUMBER_BYTES
    else if (Array.isArray(item)) {
      bytes += ARRAY_BYTES + ELEMENT_BYTES * item.length
      for (const element of item) pending.push(element)
    } else if (ArrayBuffer.isView(item)) {
      bytes += OBJECT_BYTES
    } else if (typeof item === 'object' && item !== null) {
      const children = Object.values(item)
      bytes += OBJECT_BYTES + PROPERTY_BYTES * children.length
      for (const child of children) pending.push(child)
    }
  }
  return bytes
}
