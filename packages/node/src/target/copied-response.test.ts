import type { Socket } from 'node:net'
import test from 'ava'
import { systemClock } from '@orioleslip/core'
import { startFaultyTarget } from '../testing/faulty-target.js'

const BODY = 'a body of the target\n'.repeat(20)
const PAUSE_MS = 20

const framed = (id: string, body: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
const unframed = (id: string, body: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nConnection: close\r\n\r\n${body}`
const framedInOldVersion = (id: string, body: string) => framed(id, body).replace('HTTP/1.1', 'HTTP/1.0')
const chunked = (id: string, body: string) =>
  `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
const COPY = framed('first', 'for first')

/** Writes the parts with a pause between them. */
async function writeParts (socket: Socket, parts: string[]): Promise<void> {
  for (const part of parts) {
    socket.write(part)
    await systemClock.sleep(PAUSE_MS)
  }
}

const half = BODY.slice(0, BODY.length / 2)
const rest = BODY.slice(BODY.length / 2)
const headOf = (text: string) => text.slice(0, text.indexOf('\r\n\r\n') + 4)

/** Forms in which a target writes a copy; `parts` are written with pauses, and the connection is closed behind them. */
const COPIES: Array<[string, string[]]> = [
  ['behind a body without a length, later', [unframed('a', BODY), COPY]],
  ['behind a body without a length, at once', [unframed('a', BODY) + COPY]],
  ['behind a body without a length, of the same response', [unframed('a', BODY), unframed('a', BODY)]],
  ['behind a body without a length, with its head in three parts', [unframed('a', BODY), COPY.slice(0, 4), COPY.slice(4, 20), COPY.slice(20)]],
  ['behind a body without a length, cut inside its head', [unframed('a', BODY), COPY.slice(0, 19)]],
  ['between the parts of a body without a length', [unframed('a', half), COPY, rest]],
  ['in place of the rest of a body with a length', [headOf(framed('a', BODY)) + BODY.slice(0, BODY.length - COPY.length), COPY]],
  ['in place of the last bytes of a body with a length', [headOf(framed('a', BODY)) + BODY.slice(0, BODY.length - 20), COPY]],
  ['inside a chunk', [chunked('a', half + COPY + rest)]]
]

// Guards against a caller that gets the copy of a response as part of its own response's body.
for (const [name, parts] of COPIES) {
  test(`a copy of a response ${name} does not pass for a part of the body`, async (t) => {
    const { call } = await startFaultyTarget(t, (socket, id) => {
      if (id === 'a') writeParts(socket, parts).then(() => socket.end(), () => {})
      else socket.write(framed(id, `for ${id}`))
    })
    t.like(await call('first'), { kind: 'complete', body: 'for first' })
    t.like(await call('a'), { kind: 'refused', refusal: { code: 'bad-answer', outcome: 'unknown' } })
    t.like(await call('next'), { kind: 'complete', body: 'for next' })
  })
}

const OTHER_HEAD = 'HTTP/1.1 200 OK\r\nX-Id: unrelated\r\n\r\n'
const FRAMINGS = [
  ['a length', framed], ['a length in HTTP/1.0', framedInOldVersion], ['chunks', chunked], ['the end of its connection', unframed]
] as const
const LOOKALIKES: Array<[string, string]> = [
  ['a head with the id of no call on its connection', OTHER_HEAD],
  ['a status line', 'GET / HTTP/1.1\r\nHTTP/1.1 200 OK\r\n'],
  ['the id of its own call behind a request line', 'GET / HTTP/1.1\r\nX-Id: a\r\n\r\n'],
  ['the start of a version at its end', 'see HTTP/1.'],
  ['the first letter of a version at its end', 'H']
]

// Guards against a sound target whose responses are refused, because their bodies contain text that looks like a head.
for (const [name, text] of LOOKALIKES) {
  for (const [framing, respond] of FRAMINGS) {
    test(`a body framed by ${framing} that contains ${name} arrives whole`, async (t) => {
      const body = `${BODY}${text}`
      const { call } = await startFaultyTarget(t, (socket, id) => {
        socket.write(respond(id, body))
        if (respond === unframed) socket.end()
      })
      t.like(await call('a'), { kind: 'complete', body })
    })
  }
}

/** Responses that have no body or end before the bytes behind them; `wanted` is the body that the caller gets. */
const ENDED: Array<[string, string, string]> = [
  ['204', 'HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n', ''],
  ['304', 'HTTP/1.1 304 Not Modified\r\nX-Id: a\r\n\r\n', ''],
  ['a length and Connection: close', headOf(framed('a', BODY)).replace('X-Id', 'Connection: close\r\nX-Id') + BODY, BODY],
  ['chunks', chunked('a', BODY), BODY],
  ['an interim response before it', `HTTP/1.1 103 Early Hints\r\n\r\n${framed('a', BODY)}`, BODY]
]

// Guards against the same behind responses whose end is known.
for (const [name, response, wanted] of ENDED) {
  for (const isAtOnce of [true, false]) {
    test(`bytes ${isAtOnce ? 'at once' : 'later'} behind a response with ${name} reach no call`, async (t) => {
      const { call } = await startFaultyTarget(t, (socket, id) => {
        if (id !== 'a') socket.write(framed(id, `for ${id}`))
        else if (isAtOnce) socket.write(response + COPY)
        else writeParts(socket, [response, COPY]).catch(() => {})
      })
      t.like(await call('first'), { kind: 'complete', body: 'for first' })
      t.like(await call('a'), { kind: 'complete', body: wanted })
      await systemClock.sleep(2 * PAUSE_MS)
      t.like(await call('next'), { kind: 'complete', body: 'for next' })
    })
  }
}
