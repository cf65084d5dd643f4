/** Estimated size of the parts of a decoded value on a 64-bit heap, in bytes. */
export const HEAP_BYTES = { object: 56, property: 16, array: 48, element: 8, string: 24, number: 16 } as const

/** Estimates the heap that a decoded JSON value takes; many small arrays and objects take a lot more than their text. */
export function estimateHeapBytes (value: unknown): number {
  const pending = [value]
  let bytes = 0
  while (pending.length > 0) {
    const item = pending.pop()
    if (typeof item === 'string') bytes += HEAP_BYTES.string + item.length
    else if (typeof item === 'number') bytes += HEAP_BYTES.number
    else if (Array.isArray(item)) {
      bytes += HEAP_BYTES.array + HEAP_BYTES.element * item.length
      for (const element of item) pending.push(element)
    } else if (ArrayBuffer.isView(item)) {
      bytes += HEAP_BYTES.object
    } else if (typeof item === 'object' && item !== null) {
      const children = Object.values(item)
      bytes += HEAP_BYTES.object + HEAP_BYTES.property * children.length
      for (const child of children) pending.push(child)
    }
  }
  return bytes
}
