import test from 'ava'
import type { MemberRecord } from '@orioleslip/core'
import { createSubset } from './subset.js'

const NODES = 195
const TARGETS = 23
const SIZE = 3
const targets = Array.from({ length: TARGETS }, (_, i) => ({ vmId: `listings-egil-a-${i}` }) as MemberRecord)
const subsetOf = (node: number, candidates = targets) => createSubset(() => `members-akur-b-${node}`)(candidates, SIZE).map(({ vmId }) => vmId)

// Guards against a link to almost every target of another region, and against a few targets that get the calls of all nodes. Load pattern:
// two hundred nodes, each of which sends a few calls to another region.
test('each node has its own few targets, and all targets are chosen about equally often', (t) => {
  const chosen = new Map<string, number>()
  for (let node = 0; node < NODES; node++) {
    const subset = subsetOf(node)
    t.is(subset.length, SIZE)
    t.deepEqual(subsetOf(node, [...targets].reverse()), subset)
    for (const vmId of subset) chosen.set(vmId, (chosen.get(vmId) ?? 0) + 1)
  }
  const mean = NODES * SIZE / TARGETS
  t.is(chosen.size, TARGETS)
  for (const count of chosen.values()) t.true(count > mean / 2 && count < mean * 2, String(count))
})

// Guards against links that are opened anew when one target leaves: the others stay in the subset.
test('a target that leaves is replaced alone', (t) => {
  const before = subsetOf(7)
  const after = subsetOf(7, targets.filter(({ vmId }) => vmId !== before[0]))
  t.deepEqual(after.filter((vmId) => before.includes(vmId)).sort(), before.slice(1).sort())
})
