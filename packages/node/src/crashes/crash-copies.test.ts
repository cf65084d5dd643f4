import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { nodeMember } from '../testing/node-member.js'
import { createCrashCopies, type CrashCopies } from './crash-copies.js'

const CRASH = { processId: 1, fingerprints: [7] }

/** Creates ten nodes of two services each; a node that is down never replies. */
function createFleet () {
  const clock = createFakeClock()
  const members = ['shop', 'other'].flatMap((service) => Array.from({ length: 10 }, (_, i) => nodeMember(`${service}-${i}`, service)))
  const down = new Set<string>()
  const asked: string[] = []
  const nodes = new Map<string, CrashCopies>()
  for (const { record } of members) {
    nodes.set(record.vmId, createCrashCopies({
      clock,
      members: { all: () => members, self: () => record },
      request: async ({ host }, kind, body) => {
        asked.push(host)
        return down.has(host) ? await new Promise(() => {}) : nodes.get(host)!.handle(kind, body)
      }
    }))
  }
  return { clock, down, asked, node: (vmId: string) => nodes.get(vmId)!, vmIds: [...nodes.keys()] }
}

// Guards against copies that are lost with the nodes of the service, which all may end at once.
test('nodes of other services keep what is known of crashes, until the request has completed', async (t) => {
  const { asked, node } = createFleet()
  await node('shop-0').crashed('shop', CRASH)
  t.is(asked.length, 8)
  t.true(asked.every((vmId) => vmId.startsWith('other')))
  const known = await node('shop-1').read('shop')
  t.is(known.length, 8)
  t.deepEqual(known[0], { crashes: [CRASH], blocked: [] })
  t.deepEqual(await node('other-0').read('other'), [])
  node('shop-1').cleared('shop', 7)
  t.deepEqual((await node('shop-1').read('shop'))[0], { crashes: [{ ...CRASH, fingerprints: [] }], blocked: [] })
})

// Guards against a caller that waits for long, or a target that is not used for long, because other nodes can't be reached.
test('unreachable nodes delay the report of a crash and a start by a limited time only', async (t) => {
  const { clock, down, node, vmIds } = createFleet()
  for (const vmId of vmIds) down.add(vmId)
  for (const work of [() => node('shop-0').crashed('shop', CRASH), () => node('shop-0').read('shop')]) {
    let isDone = false
    work().then(() => { isDone = true })
    await clock.advance(249)
    t.false(isDone)
    await clock.advance(1)
    t.true(isDone)
  }
})

test('a request of another kind is left to others, and an odd one is not kept', (t) => {
  const { handle } = createFleet().node('shop-0')
  t.is(handle('withdrawal', 1), undefined)
  t.false(handle('crash-copy', { service: 'other', crash: { processId: -1, fingerprints: [] } }))
  t.false(handle('crash-copy-cleared', 7))
  t.deepEqual(['other', 7].map((service) => handle('crash-copies-of', service)), [null, null])
})

// Guards against a memory that grows with each service.
test('the copies of the service without reports for the longest time go first', (t) => {
  const { handle } = createFleet().node('shop-0')
  for (let i = 0; i < 16; i++) handle('crash-copy', { service: `service-${i}`, crash: CRASH })
  handle('crash-copy', { service: 'service-0', crash: { ...CRASH, processId: 2 } })
  handle('crash-copy', { service: 'service-16', crash: CRASH })
  t.is(handle('crash-copies-of', 'service-1'), null)
  for (const service of ['service-0', 'service-2', 'service-16']) t.not(handle('crash-copies-of', service), null)
})
