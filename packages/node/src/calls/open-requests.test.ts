import { connect } from 'node:net'
import test from 'ava'
import { startCallerServer } from '../server/caller-server.js'
import { countOpenRequests } from './open-requests.js'

const host = '127.0.0.1'
/** More than the buffers of a connection hold, in bytes. */
const BODY = Buffer.alloc(32 * 1024 * 1024)
const POLL_MS = 20
const MAX_POLLS = 500

// Guards against a planned stop that cuts a response which its client reads slowly, because the handler of the request has returned.
for (const [name, end] of [['has been read', 'resume'], ['has lost its client', 'destroy']] as const) {
  test(`a request is open until its response ${name}`, async (t) => {
    const { handle, openRequests } = countOpenRequests(async (_req, res) => { res.end(BODY) })
    const server = await startCallerServer({ host, port: 0 }, handle, handle)
    const socket = connect(server.port, host)
    t.teardown(async () => {
      socket.destroy()
      await server.drain()
    })
    const until = async (count: number) => {
      for (let i = 0; i < MAX_POLLS && openRequests() !== count; i++) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      t.is(openRequests(), count)
    }
    socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    await until(1)
    await new Promise((resolve) => setTimeout(resolve, 5 * POLL_MS))
    t.is(openRequests(), 1)
    socket[end]()
    await until(0)
  })
}
