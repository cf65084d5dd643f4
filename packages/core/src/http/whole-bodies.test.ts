import { once } from 'node:events'
import { createServer, type IncomingMessage } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { socketClosed } from '../testing/socket-closed.js'
import { withWholeBodies } from './whole-bodies.js'

const MAX_BYTES = 1000
const LIMIT = { maxBytes: MAX_BYTES, tooLarge: { type: 'text/plain', text: 'too large' } }
const chunks = (count: number) => '1\r\na\r\n'.repeat(count)

/** Sends one request to a server that answers with the length of the body that it was given; returns what the client received. */
async function exchange (t: ExecutionContext, headers: string, body: string): Promise<string> {
  const server = createServer(withWholeBodies((req: IncomingMessage & { rawBody?: Buffer }, res) => {
    res.end(`got ${req.rawBody?.length ?? 'none'}`)
  }, LIMIT))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => { server.close() })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  const closed = socketClosed(socket)
  socket.write(`PUT / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${headers}\r\n${body}`)
  await closed
  return text
}

// Guards against an application that keeps a body without a limit, or each of its chunks as an object.
test('an application gets each body whole, and none above the limit', async (t) => {
  const chunked = 'transfer-encoding: chunked\r\n'
  t.regex(await exchange(t, '', ''), /got none/)
  t.regex(await exchange(t, 'content-length: 5\r\n', 'hello'), /got 5/)
  t.regex(await exchange(t, chunked, `${chunks(MAX_BYTES)}0\r\n\r\n`), new RegExp(`got ${MAX_BYTES}`))
  t.regex(await exchange(t, chunked, chunks(MAX_BYTES + 1)), /^HTTP\/1\.1 413 [^]*too large$/)
  t.regex(await exchange(t, `content-length: ${MAX_BYTES + 1}\r\n`, 'a'), /^HTTP\/1\.1 413 [^]*too large$/)
})
