/** Rendezvous hashing weight of a node for a key: a 32-bit mix of both hashes. */
export function rendezvousWeight (keyHash: number, nodeHash: number): number {
  let mixed = Math.imul(keyHash ^ nodeHash, 0x9e3779b1)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
