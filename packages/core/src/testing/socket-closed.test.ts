import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { socketClosed } from './socket-closed.js'

// Guards against tests that fail by chance, because the peer resets a connection on which they still write.
test('a socket that its peer resets is reported as closed', async (t) => {
  const server = createServer((socket) => socket.resetAndDestroy())
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let error: NodeJS.ErrnoException | undefined
  socket.on('error', (err) => { error = err })
  await socketClosed(socket)
  t.is(error?.code, 'ECONNRESET')
})
