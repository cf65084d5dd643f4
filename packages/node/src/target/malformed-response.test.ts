import test from 'ava'
import { startFaultyTarget } from '../testing/faulty-target.js'

/** Tries of each case, since the bytes before a reset arrive together with it or before. */
const TRIES = 15

const headOf = (id: string, coding: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nTransfer-Encoding: ${coding}\r\n\r\n`

// Guards against a part of a body that passes for a whole one: a response with a coding other than "chunked" ends with its connection, so
// that only the way in which the connection ends shows whether it is whole.
for (const coding of ['identity', 'Identity', 'gzip', 'gzip, chunked, gzip']) {
  test(`a response with the transfer coding ${coding} that is reset is never complete`, async (t) => {
    const { call } = await startFaultyTarget(t, (socket, id) => {
      socket.write(`${headOf(id, coding)}a part of the body`)
      socket.resetAndDestroy()
    })
    for (let i = 0; i < TRIES; i++) t.like(await call(`cut-${i}`), { kind: 'refused', status: undefined, refusal: { outcome: 'unknown' } })
  })
}

test('a response without a coding, by the name "identity", is returned when it is whole', async (t) => {
  const { call } = await startFaultyTarget(t, (socket, id) => { socket.end(`${headOf(id, 'identity')}whole`) })
  t.like(await call('a'), { kind: 'complete', status: 200, body: 'whole' })
})

// Guards against a body that is passed on in a coding which its caller is not told of.
test('a response with a transfer coding that can\'t be decoded is refused, also when it is whole', async (t) => {
  for (const coding of ['gzip', 'gzip, chunked']) {
    const { call } = await startFaultyTarget(t, (socket, id) => { socket.end(`${headOf(id, coding)}2\r\nok\r\n0\r\n\r\n`) })
    t.like(await call('a'), { kind: 'refused', status: undefined, refusal: { outcome: 'unknown' } }, coding)
  }
})

// Guards against a status that no client understands: a server in trouble sends it in the place of one.
test('a response with a status outside of 100 to 599 is refused', async (t) => {
  for (const status of ['000', '00', '0', '099', '20', '1000', '-1', '600', '999']) {
    const { call } = await startFaultyTarget(t, (socket, id) => {
      socket.write(`HTTP/1.1 ${status} OK\r\nX-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`)
    })
    t.like(await call('a'), { kind: 'refused', status: undefined, refusal: { outcome: 'unknown' } }, status)
  }
})

// Guards against bytes of another protocol that are taken for a response; the second response comes on a connection that is in use again.
test('a response of another version than HTTP/1.0 or 1.1 is refused', async (t) => {
  for (const version of ['HTTP/2.0', 'HTTP/0.9', 'HTTP/3.0', 'ICY/1.1']) {
    const { call } = await startFaultyTarget(t, (socket, id, n) => {
      socket.write(`${n === 1 ? '\r\nHTTP/1.1' : version} 200 OK\r\nX-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`)
    })
    t.like(await call('a'), { kind: 'complete', body: 'ok' })
    t.like(await call('b'), { kind: 'refused', status: undefined, refusal: { outcome: 'unknown' } }, version)
  }
})
