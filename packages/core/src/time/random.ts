import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of randomness; tests and experiments pass a seeded one. */
export type Random = {
  /** Uniform in [0, 1). */
  next: () => number
  /** Uniform integer in [0, n). */
  int: (n: number) => number
}

/** Unseeded generator for production. */
export const systemRandom: Random = {
  next: () => Math.random(),
  int: (n) => Math.floor(Math.random() * n)
}

/** Creates a generator that returns the same sequence for the same seed. */
export function createSeededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const next = () => (generator.next() >>> 0) / 0x1_0000_0000
  return { next, int: (n) => Math.floor(next() * n) }
}
