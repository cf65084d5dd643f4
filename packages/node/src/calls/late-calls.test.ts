import test from 'ava'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { GAP_MS, shopHead, standStill, startExecutorLink } from '../testing/executor-link.js'

// Guards against a deadline that does not count the time in which the head of a call waited in a queue, on the link or in a socket.
test('a call whose deadline passed before its head was read is refused as not run', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const call = connection.openCall(shopHead('/late', GAP_MS - 200))
  // The frames of a turn are written at its end.
  await nextTurn()
  standStill()
  const reply = await call.reply
  t.is(reply.kind, 'refused')
  if (reply.kind === 'refused') t.like(reply.refusal, { code: 'deadline-exceeded', outcome: 'not-run' })
  t.deepEqual(paths, [])
})

// Guards against calls that are refused for a wait on their way though their callers still wait.
test('a call that waited on its way, but not past its deadline, is sent to the target', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const call = connection.openCall(shopHead('/in-time', GAP_MS + 2000))
  await nextTurn()
  standStill()
  t.is((await call.reply).kind, 'head')
  t.deepEqual(paths, ['/in-time'])
})
