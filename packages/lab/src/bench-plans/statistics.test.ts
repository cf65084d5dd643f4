import test from 'ava'
import { sumByChannel } from './counts.js'
import { fitLine, percentile } from './statistics.js'
import { timeToEffect } from './revisions.js'

// Guards against a p99 that leaves out the slowest node of a small fleet: below 100 values, a rank that is rounded down misses the largest.
test('percentiles are taken from the values themselves', (t) => {
  t.is(percentile([3, 1, 2], 99), 3)
  t.is(percentile([4, 1, 3, 2], 50), 2)
  t.true(Number.isNaN(percentile([], 50)))
})

// Guards against extrapolation from one size, which has no slope, and against a slope that includes the fixed cost, as value / nodes would.
test('the linear fit needs two sizes', (t) => {
  t.is(fitLine([{ nodes: 8, value: 1 }]), undefined)
  t.deepEqual(fitLine([{ nodes: 8, value: 18 }, { nodes: 24, value: 34 }, { nodes: 64, value: 74 }]), { atZero: 10, perNode: 1 })
})

// Guards against too good a p99: a node that never received an edit has no observation and would drop out of the figures.
test('an edit that is not in effect at a node counts as missing', (t) => {
  const edit = { revision: 2, sentMs: 900, acceptedMs: 1000, tries: 1 }
  const observed = [{ node: 'a', revision: 2, atMs: 1500 }, { node: 'b', revision: 1, atMs: 800 }]
  t.like(timeToEffect([edit], observed, 2), { samples: 1, missing: 1, maxSeconds: 0.5 })
})

// Guards against control traffic that includes this benchmark's own state readings, which arrive at the nodes' caller ports.
test('traffic of callers is not control traffic', (t) => {
  const counts = { connections: 1, bytesIn: 10, bytesOut: 5, messagesIn: 0, messagesOut: 1 }
  const sums = sumByChannel({ 'in:1': counts, 'out:2': counts, 'in:3': counts, udp: counts }, { api: new Set([2]), peer: new Set([3]) })
  t.deepEqual([sums.api.bytesIn, sums.peer.bytesIn, sums.gossip.bytesIn], [10, 10, 10])
})
