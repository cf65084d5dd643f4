import test from 'ava'
import { systemClock } from '@orioleslip/core'
import { startFaultyTarget } from '../testing/faulty-target.js'

const FRAMED = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 920\r\n\r\n'
const CHUNKED = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n'
const PART = 'a part of the body '
/** Time in which the head has reached the caller if it is not held back, in ms. */
const HEAD_MS = 30

// Guards against a cut response whose head the caller already has: only the end of its connection shows it then, and the responses to
// further requests on that connection are lost with it.
for (const [framing, head] of [['a length', FRAMED], ['chunks', CHUNKED]] as const) {
  for (const how of ['end', 'resetAndDestroy'] as const) {
    test(`a small response with ${framing} that is cut by ${how} is refused before its head is sent`, async (t) => {
      const { call } = await startFaultyTarget(t, (socket) => {
        socket.write(head)
        socket.write(PART)
        setTimeout(() => socket[how](), HEAD_MS)
      })
      t.like(await call('a'), { kind: 'refused', status: undefined, refusal: { code: 'bad-answer', outcome: 'unknown' } })
    })
  }
}

// Guards against a response that is held for as long as its target goes on writing it.
test('the first part of a response in chunks is forwarded while its target goes on', async (t) => {
  const { call } = await startFaultyTarget(t, (socket) => {
    socket.write(`${CHUNKED}${PART}`)
    systemClock.sleep(500).then(() => socket.destroy(), () => {})
  })
  t.like(await call('a'), { kind: 'refused', status: 200 })
})

test('a large response with a length is forwarded while it arrives', async (t) => {
  const { call } = await startFaultyTarget(t, (socket) => {
    socket.write(`${FRAMED.replace('920', '1000000')}${PART}`)
    setTimeout(() => socket.destroy(), HEAD_MS)
  })
  t.like(await call('a'), { kind: 'refused', status: 200 })
})

// Guards against a response that stalls until its deadline and is reported as malformed.
test('a response that stalls until the deadline is refused because of the deadline', async (t) => {
  const { call } = await startFaultyTarget(t, (socket) => { socket.write(FRAMED) })
  t.like(await call('a'), { kind: 'refused', status: undefined, refusal: { code: 'deadline-exceeded', outcome: 'unknown' } })
})
