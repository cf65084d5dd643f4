import test from 'ava'
import type { Configuration } from '../storage/entry.js'
import { nextConfiguration, votersOf, type MemberView } from './configuration.js'

const voter = (vmId: string) => ({ vmId, storageId: `disk-${vmId}`, voter: true })
const learner = (vmId: string) => ({ vmId, storageId: `disk-${vmId}`, voter: false })
const configOf = (...members: Configuration['members']): Configuration => ({ groupId: 'g', members, excluded: [] })
const viewOf = (overrides: Partial<MemberView> = {}): MemberView => ({
  joins: new Map(), hasRecentContact: () => true, isCaughtUp: () => true, voterLimit: 3, isReplaceable: () => false, ...overrides
})
const ids = (config: Configuration | undefined) => config === undefined ? undefined : votersOf(config).map((member) => member.vmId)

// Guards against a group that grows beyond its limit of voters, and against healthy voters that are replaced: a learner has caught up
// while all places are taken.
test('a learner waits while the group has all its voters', (t) => {
  t.deepEqual(ids(nextConfiguration(configOf(voter('a'), voter('b'), learner('c')), viewOf())), ['a', 'b', 'c'])
  t.is(nextConfiguration(configOf(voter('a'), voter('b'), voter('c'), learner('d')), viewOf()), undefined)
})

// Guards against a permanently lost voter that stays in the group while a learner waits: the limit of voters leaves no free place.
test('a learner replaces a voter that is lost, one change at a time', (t) => {
  const isLost = (storageId: string) => storageId === 'disk-b'
  const view = viewOf({ isReplaceable: isLost, hasRecentContact: (storageId) => !isLost(storageId) })
  const without = nextConfiguration(configOf(voter('a'), voter('b'), voter('c'), learner('d')), view)
  t.deepEqual(ids(without), ['a', 'c'])
  t.deepEqual(ids(nextConfiguration(without!, view)), ['a', 'c', 'd'])
})
