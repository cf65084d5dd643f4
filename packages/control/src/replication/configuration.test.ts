import test from 'ava'
import type { Configuration } from '../storage/entry.js'
import { nextConfiguration, votersOf, type MemberView } from './configuration.js'

const voter = (vmId: string) => ({ vmId, storageId: `disk-${vmId}`, voter: true })
const learner = (vmId: string) => ({ vmId, storageId: `disk-${vmId}`, voter: false })
const configOf = (...members: Configuration['members']): Configuration => ({ groupId: 'g', members, excluded: [] })
const viewOf = (over: Partial<MemberView> = {}): MemberView => ({
  joins: new Map(), isHeard: () => true, isCaughtUp: () => true, voterLimit: 3, isGone: () => false, ...over
})
const ids = (config: Configuration | undefined) => config === undefined ? undefined : votersOf(config).map((member) => member.vmId)

// Guards against a group that grows beyond the size its promise needs, and against healthy voters losing their place.
test('a learner waits while the group has all its voters', (t) => {
  t.deepEqual(ids(nextConfiguration(configOf(voter('a'), voter('b'), learner('c')), viewOf())), ['a', 'b', 'c'])
  t.is(nextConfiguration(configOf(voter('a'), voter('b'), voter('c'), learner('d')), viewOf()), undefined)
})

// Guards against a control VM that is gone for good keeping its place while its successor waits.
test('a learner takes the place of a voter that is gone, one change at a time', (t) => {
  const isOut = (storageId: string) => storageId === 'disk-b'
  const view = viewOf({ isGone: isOut, isHeard: (storageId) => !isOut(storageId) })
  const without = nextConfiguration(configOf(voter('a'), voter('b'), voter('c'), learner('d')), view)
  t.deepEqual(ids(without), ['a', 'c'])
  t.deepEqual(ids(nextConfiguration(without!, view)), ['a', 'c', 'd'])
})
