import type { Socket } from 'node:net'
import test from 'ava'
import { systemClock } from '@orioleslip/core'
import { startFaultyTarget } from '../testing/faulty-target.js'

const idHeader = (id: string | undefined) => id === undefined ? '' : `X-Id: ${id}\r\n`
const answer = (id: string | undefined, body: string) => `HTTP/1.1 200 OK\r\n${idHeader(id)}Content-Length: ${body.length}\r\n\r\n${body}`
const refusal = (id: string | undefined, status: string) => `HTTP/1.1 ${status}\r\n${idHeader(id)}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`

/** Writes text in three parts with a pause between them. */
async function writeInParts (socket: Socket, text: string): Promise<void> {
  const third = Math.ceil(text.length / 3)
  for (let i = 0; i < text.length; i += third) {
    socket.write(text.slice(i, i + third))
    await systemClock.sleep(5)
  }
}

// Guards against a caller that gets the response to another call, because its target sends a second copy of that response, late.
for (const [name, idOf] of [['the id of the first call', (id: string) => id], ['another id', () => 'other'], ['no id', () => undefined]] as const) {
  for (const isWhole of [true, false]) {
    test(`a late copy of a response with ${name}, ${isWhole ? 'whole' : 'in parts'}, reaches no other call`, async (t) => {
      let first = ''
      const { call } = await startFaultyTarget(t, (socket, id, n) => {
        if (n !== 2) return socket.write(answer(id, `for ${id}`))
        const copy = answer(idOf(first), `for ${first}`)
        if (isWhole) socket.write(copy + answer(id, `for ${id}`))
        else writeInParts(socket, copy).then(() => socket.write(answer(id, `for ${id}`)), () => {})
      })
      first = 'a'
      t.like(await call('a'), { kind: 'complete', body: 'for a' })
      t.like(await call('b'), { kind: 'refused', refusal: { code: 'bad-answer', outcome: 'unknown' } })
      t.like(await call('c'), { kind: 'complete', body: 'for c' })
    })
  }
}

// Guards against a caller that is told that its call did not run, or whose call is sent to a second target, because the target wrote the
// refusal of an earlier call once more on the connection, while it was running this one.
for (const status of ['503 Service Unavailable', '429 Too Many Requests', '421 Misdirected Request', '400 Bad Request']) {
  for (const [name, idOf] of [['the id of the earlier call', (id: string) => id], ['no id', () => undefined]] as const) {
    test(`an earlier refusal with status ${status.slice(0, 3)} and ${name}, written again, does not make a running call one that did not run`, async (t) => {
      let running = 0
      const { call } = await startFaultyTarget(t, (socket, id, n) => {
        if (n === 1) return socket.write(refusal(id, status))
        running++
        socket.write(refusal(idOf('a'), status))
        setTimeout(() => socket.write(answer(id, `for ${id}`)), 20)
      })
      t.like(await call('a'), { kind: 'refused', refusal: { outcome: 'not-run' } })
      t.like(await call('b'), { kind: 'refused', status: undefined, refusal: { code: 'bad-answer', outcome: 'unknown' } })
      t.is(running, 1)
    })
  }
}

// Guards against the same when the copy follows the refusal at once, while the connection is idle.
test('a refusal that is written twice at once does not affect the next call', async (t) => {
  const { call } = await startFaultyTarget(t, (socket, id, n) => {
    if (n === 1) socket.write(refusal(id, '503 Service Unavailable').repeat(2))
    else socket.write(answer(id, `for ${id}`))
  })
  t.like(await call('a'), { kind: 'refused', refusal: { outcome: 'not-run' } })
  await systemClock.sleep(20)
  t.like(await call('b'), { kind: 'complete', body: 'for b' })
})

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n'
const HEADS: Array<[string, string]> = [
  ['a length', 'HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n'],
  ['chunks', 'HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n'],
  ['the end of the connection', 'HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n'],
  ['an interim response before it', `${INTERIM}HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n`]
]

// Guards against a caller that gets a 200 with an empty or short body as a complete response, because its target stopped in the middle of
// the head of its response and closed the connection.
for (const [framing, head] of HEADS) {
  for (const isReset of [false, true]) {
    test(`a response framed by ${framing} whose head is cut ${isReset ? 'by a reset' : 'by a close'} at any byte is never complete`, async (t) => {
      let cut = 0
      const { call, inFlight } = await startFaultyTarget(t, (socket, id) => {
        // The connection has served a call before, so that its parser has state from a complete response.
        if (id === 'whole') return socket.write(answer(id, 'whole'))
        if (cut > 0) socket.write(head.slice(0, cut))
        if (isReset) setTimeout(() => socket.resetAndDestroy(), 2)
        else socket.end()
      })
      for (cut = 0; cut < head.length; cut++) {
        t.like(await call('whole'), { kind: 'complete', body: 'whole' })
        const res = await call('a')
        t.like(res, { kind: 'refused', status: undefined, refusal: { outcome: 'unknown' } }, `cut after ${cut} bytes`)
      }
      // The call is closed after its refusal has been sent.
      await systemClock.sleep(0)
      t.is(inFlight(), 0)
    })
  }
}

// Guards against a cut response that passes for a whole one: the reset arrives together with the bytes before it, and Node.js reports the
// end of the connection in place of the reset.
test('a response without a length that is reset right behind its bytes is cut, one whose connection ends in order is whole', async (t) => {
  const isReset = (id: string) => Number(id) % 2 === 0
  const { call } = await startFaultyTarget(t, (socket, id) => {
    socket.write(`HTTP/1.1 200 OK\r\n${idHeader(id)}Connection: close\r\n\r\npart or whole`)
    if (isReset(id)) setImmediate(() => socket.resetAndDestroy())
    else socket.end()
  })
  const ids = Array.from({ length: 60 }, (_, i) => String(i))
  const results = await Promise.all(ids.map(call))
  t.deepEqual(ids.filter((id, i) => (results[i]!.kind === 'complete') === isReset(id)), [])
})
