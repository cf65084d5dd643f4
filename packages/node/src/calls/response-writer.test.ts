import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { notRun } from '@orioleslip/core'
import test from 'ava'
import { startCallerServer } from '../server/caller-server.js'
import { writeRefusal } from './response-writer.js'

const host = '127.0.0.1'
const BODY_BYTES = 1_000_000

// Guards against a refusal that the client never reads: closing the socket while the client still sends its body makes TCP reset the
// connection, which drops response bytes that the client has not read yet.
test('a client can send the rest of its upload after the upload was refused', async (t) => {
  const refuse = async (req: IncomingMessage, res: ServerResponse) => writeRefusal(req, res, notRun('overloaded', 'busy', 1), 'id')
  const server = await startCallerServer({ host, port: 0 }, refuse, refuse)
  const socket = connect(server.port, host)
  let closedEarly = false
  socket.once('end', () => { closedEarly = true })
  socket.write(`PUT /a/b HTTP/1.1\r\nhost: x\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`)
  const [response] = await once(socket, 'data') as [Buffer]
  t.regex(response.toString(), /^HTTP\/1\.1 503 /)
  await new Promise((resolve) => socket.write(Buffer.alloc(BODY_BYTES / 2), resolve))
  await new Promise((resolve) => setTimeout(resolve, 50))
  t.false(closedEarly)
  socket.write(Buffer.alloc(BODY_BYTES / 2))
  socket.resume()
  await once(socket, 'close')
  await server.drain()
})
