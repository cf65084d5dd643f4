/** Levels of arrays and objects allowed in values from outside. Code that recurses over a value fails from about 1,000 levels on. */
export const MAX_NESTING = 64

/** True if arrays and objects in the value are nested deeper than `levels`; needs no stack of that depth itself. */
export function isNestedDeeperThan (value: unknown, levels: number): boolean {
  let current = [value]
  for (let level = 0; current.length > 0; level++) {
    const next: unknown[] = []
    for (const item of current) {
      if (typeof item !== 'object' || item === null || ArrayBuffer.isView(item)) continue
      if (level === levels) return true
      for (const child of Object.values(item)) next.push(child)
    }
    current = next
  }
  return false
}
