import test from 'ava'
import { systemClock } from '@orioleslip/core'
import { startFaultyTarget } from '../testing/faulty-target.js'

const unframed = (id: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nConnection: close\r\n\r\n`
const framed = (id: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`

// Guards against a cut response that looks whole: the kernel ends the connections of a target process that is killed in order, which is
// also how a response without a length ends.
for (const others of [0, 3]) {
  test(`a response without a length is cut when the target process ends beside ${others} other connections`, async (t) => {
    const { call, endProcess, requests } = await startFaultyTarget(t, (socket, id) => {
      socket.write(id.startsWith('cut') ? `${unframed(id)}the first half` : framed(id))
    })
    await Promise.all(Array.from({ length: others }, (_, i) => call(`other-${i}`)))
    const cut = [call('cut-1'), call('cut-2')]
    while (requests() < others + cut.length) await systemClock.sleep(5)
    // The first half arrives before the end.
    await systemClock.sleep(50)
    endProcess()
    for (const result of await Promise.all(cut)) t.like(result, { kind: 'refused', status: undefined, refusal: { code: 'bad-answer', outcome: 'unknown' } })
  })
}

// Guards against the same check refusing whole responses of a target that goes on, with and without further connections to it.
for (const others of [0, 3]) {
  test(`a response without a length is whole when the target goes on beside ${others} other connections`, async (t) => {
    const { call } = await startFaultyTarget(t, (socket, id) => {
      if (id === 'whole') socket.end(`${unframed(id)}all of it`)
      else socket.write(framed(id))
    })
    await Promise.all(Array.from({ length: others }, (_, i) => call(`other-${i}`)))
    t.like(await call('whole'), { kind: 'complete', body: 'all of it' })
  })
}
