import test from 'ava'
import type { ReplicationMessage, ReplicationReply } from './messages.js'
import { createCluster } from './testing/cluster.js'

// Guards against an entry of an earlier term that is committed because a majority has it: a replica without it may still win an election
// and overwrite it.
test('an entry of an earlier term is committed only together with one of the leader\'s own', async (t) => {
  const cluster = createCluster(3, 51)
  await cluster.start('c1')
  const never = new Promise<never>(() => {})
  /** Peers that grant every vote and hold entries up to `heldIndex`; messages with later ones get no reply. */
  const peers = { heldIndex: Infinity }
  const replyAs = (storageId: string) => async ({ body }: ReplicationMessage): Promise<ReplicationReply> => {
    if (body.kind === 'identify') return { kind: 'identify', storageId, initiating: false, hasLeader: false }
    if (body.kind === 'vote') return { kind: 'vote', term: body.pre ? body.term - 1 : body.term, granted: true }
    if (body.kind !== 'append') return await never
    const matchIndex = body.prevIndex + body.entries.length
    return matchIndex > peers.heldIndex ? await never : { kind: 'append', ok: true, term: body.term, matchIndex }
  }
  cluster.network.setHandler('c2', replyAs('s2'))
  cluster.network.setHandler('c3', replyAs('s3'))
  const { log } = cluster.vm('c1')
  t.true((await cluster.waitFor(log!.init())).isOk())
  t.true((await cluster.propose('c1', 'a')).isOk())

  const { lastIndex, term } = log!.status()
  peers.heldIndex = lastIndex
  t.is((await cluster.propose('c1', 'b'))._unsafeUnwrapErr().kind, 'outcomeUnknown')
  peers.heldIndex = lastIndex + 1
  await cluster.waitUntil(() => log!.status().role === 'leader' && log!.status().term > term, 'a leadership in a later term')
  await cluster.advance(300)
  t.is(log!.status().members.filter(({ matchIndex }) => matchIndex === lastIndex + 1).length, 2)
  t.is(log!.status().commitIndex, lastIndex)
  t.true((await cluster.waitFor(log!.confirmCurrent())).isErr())
  peers.heldIndex = Infinity
  await cluster.waitUntil(() => log!.status().commitIndex > lastIndex + 1, 'the entry of the new term is committed')
  t.deepEqual(cluster.vm('c1').machine.applied, ['a', 'b'])
})
