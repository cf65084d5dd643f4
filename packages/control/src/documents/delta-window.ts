/** The latest deltas of a document, for nodes that lag a little. */
export type DeltaWindow<Delta> = {
  add: (delta: Delta) => void
  clear: () => void
  all: () => Delta[]
  /** Deltas from a revision to the one in effect; undefined when one of them is not kept. */
  after: (revision: number) => { deltas: Delta[], bytes: number } | undefined
}

/** Limits of a window: number of deltas, and their size as JSON in bytes. */
export type DeltaLimits = { deltas: number, bytes: number }

/** Creates an empty window. A delta beyond the limits removes the oldest ones, or all if it is itself too large. */
export function createDeltaWindow<Delta extends { from: number }> (limits: DeltaLimits): DeltaWindow<Delta> {
  let kept: Array<{ delta: Delta, bytes: number }> = []
  let totalBytes = 0
  return {
    add: (delta) => {
      const bytes = Buffer.byteLength(JSON.stringify(delta))
      kept.push({ delta, bytes })
      totalBytes += bytes
      while (kept.length > limits.deltas || totalBytes > limits.bytes) totalBytes -= kept.shift()!.bytes
    },
    clear: () => {
      kept = []
      totalBytes = 0
    },
    all: () => kept.map(({ delta }) => delta),
    after: (revision) => {
      const missing = kept.filter(({ delta }) => delta.from >= revision)
      if (missing[0]?.delta.from !== revision) return undefined
      return { deltas: missing.map(({ delta }) => delta), bytes: missing.reduce((sum, { bytes }) => sum + bytes, 0) }
    }
  }
}
