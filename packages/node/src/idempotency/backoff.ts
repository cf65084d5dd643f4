/** Creates an exponential backoff: each call returns the next delay in ms, doubling from `firstMs` to `maxMs`. */
export function createBackoff (firstMs: number, maxMs: number): () => number {
  let nextMs = firstMs
  return () => {
    const ms = nextMs
    nextMs = Math.min(maxMs, nextMs * 2)
    return ms
  }
}
