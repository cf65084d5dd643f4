import { createFakeClock } from '@orioleslip/core'
import test from 'ava'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { createSocketReads } from './socket-reads.js'

// Guards against a wait that counts the time before the turn in which the bytes were read: they may have come only then.
test('what is read has waited since the first read of its turn, at least', async (t) => {
  const clock = createFakeClock()
  const reads = createSocketReads(clock)
  await nextTurn()
  await clock.advance(2000)
  reads.noteRead()
  t.is(reads.waitedMs(), 0)
  await clock.advance(300)
  reads.noteRead()
  t.is(reads.waitedMs(), 300)
  await nextTurn()
  t.is(reads.waitedMs(), 0)
})

// Guards against the end of a connection that is overlooked: it is read one turn after the bytes before it.
test('what has arrived can have been left unread since the turn before the previous one', async (t) => {
  const clock = createFakeClock()
  const reads = createSocketReads(clock)
  const turn = async (ms: number) => {
    await nextTurn()
    await clock.advance(ms)
    return reads.unreadMs()
  }
  await turn(100)
  await turn(100)
  t.is(await turn(1000), 1100)
  t.is(await turn(10), 1010)
  t.is(await turn(10), 20)
})
