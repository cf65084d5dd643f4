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

// Guards against the end of a connection that is overlooked because work goes on in the turn in which a gap has ended.
test('work waits until the sockets have been read after a gap, and not without one', async (t) => {
  const clock = createFakeClock()
  const reads = createSocketReads(clock)
  t.is(reads.caughtUp(), undefined)
  await clock.advance(600)
  const events: string[] = []
  const caughtUp = reads.caughtUp()?.then(() => { events.push('caught up') })
  await nextTurn()
  events.push('sockets are read')
  await caughtUp
  t.deepEqual(events, ['sockets are read', 'caught up'])
  t.is(reads.caughtUp(), undefined)
})

// Guards against a long queue of work behind which sockets are left unread again, and against work that waits for ever when turns are long.
test('work that waits goes on in order, a part of it in each turn', async (t) => {
  const clock = createFakeClock()
  const reads = createSocketReads(clock)
  await clock.advance(600)
  const turnOf: number[] = []
  let turn = 0
  const work = Array.from({ length: 10 }, async (_, i) => {
    await reads.caughtUp()
    turnOf[i] = turn
    await clock.advance(40)
  })
  const all = Promise.all(work)
  while (turnOf.filter((done) => done !== undefined).length < work.length) {
    await nextTurn()
    turn++
  }
  await all
  t.deepEqual(turnOf, [...turnOf].sort((a, b) => a - b))
  t.true(turnOf.filter((each) => each === turnOf[0]).length <= 4)
  t.true(turn < 10)
})

/** Creates the reads of a process, and a turn that begins after the event loop has run for `busyMs` and slept for `idleMs`. */
function createLoop () {
  const clock = createFakeClock()
  let sleptMs = 0
  const reads = createSocketReads(clock, () => sleptMs)
  const turn = async (busyMs: number, idleMs: number) => {
    await nextTurn()
    await clock.advance(busyMs + idleMs)
    sleptMs += idleMs
    reads.noteTurn()
  }
  return { reads, turn }
}

// Guards against calls that wait for a turn of the event loop on a node with nothing to do, which has left nothing unread.
test('an event loop that sleeps between turns at short intervals has read all', async (t) => {
  const { reads, turn } = createLoop()
  for (let i = 0; i < 10; i++) {
    await turn(1, 200)
    t.is(reads.caughtUp(), undefined)
  }
})

// Guards against work for clients that have left while the process did not run; its sleep lasts as long then.
test('a process that stood still while its event loop slept has left sockets unread', async (t) => {
  const { reads, turn } = createLoop()
  await turn(1, 200)
  await turn(1, 700)
  t.true(reads.unreadMs() >= 700)
  t.not(reads.caughtUp(), undefined)
})

// Guards against calls that wait again and again on a node whose turns are long, when it has the least to spare, and against work in turns
// so long that what arrived two turns ago is late.
test('calls wait in a busy process only if two of its turns are long', async (t) => {
  const { reads, turn } = createLoop()
  for (let i = 0; i < 4; i++) await turn(90, 0)
  t.is(reads.caughtUp(), undefined)
  for (let i = 0; i < 4; i++) await turn(140, 10)
  t.not(reads.caughtUp(), undefined)
})
