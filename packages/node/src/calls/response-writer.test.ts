import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { notRun, unknownOutcome } from '@orioleslip/core'
import test from 'ava'
import { createByteQueue } from '../links/byte-queue.js'
import { startCallerServer } from '../server/caller-server.js'
import { writeRefusal, writeResponse } from './response-writer.js'

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

// Guards against a client that gets no byte, not even a failure, when a response is cut off before the first byte of its body.
test('a response whose body is cut off before its first byte is left to be refused, and the connection stays open', async (t) => {
  const body = createByteQueue(() => {})
  const respond = async (req: IncomingMessage, res: ServerResponse) => {
    if (req.url === '/next') {
      res.writeHead(200, ['content-length', '0']).end()
      return
    }
    const refusal = unknownOutcome('bad-answer', 'the response was cut off')
    const end = await writeResponse(res, { status: 200, headers: [], unframed: req.url === '/unframed' }, body, Promise.resolve({
      kind: 'aborted', refusal, report: { pathLevel: 0, regionBytes: 0 }
    }), [])
    t.is(end.kind, 'aborted')
    t.false(res.headersSent)
    writeRefusal(req, res, refusal, 'id')
  }
  const server = await startCallerServer({ host, port: 0 }, respond, respond)
  body.fail(new Error('cut off'))
  for (const path of ['/chunked', '/unframed']) {
    const socket = connect(server.port, host)
    let text = ''
    socket.on('data', (chunk) => { text += chunk.toString() })
    socket.write([path, '/next'].map((each) => `GET ${each} HTTP/1.1\r\nhost: x\r\n\r\n`).join(''))
    while (!text.includes('HTTP/1.1 200')) await once(socket, 'data', { signal: AbortSignal.timeout(5000) })
    t.regex(text, /^HTTP\/1\.1 502 /)
    socket.destroy()
  }
  server.abort()
  await server.drain()
})

/** Body of an upload, which a client goes on sending for a while after its response has arrived. */
const UPLOAD_BYTES = 30 * 1024 * 1024

/** Uploads a body to a server that responds at once, and returns the body of the response and whether the connection was reset. */
async function uploadToEarlyResponse (port: number): Promise<{ text: string, isReset: boolean }> {
  const socket = connect(port, host)
  let text = ''
  let isReset = false
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', () => { isReset = true })
  socket.write(`PUT /a HTTP/1.1\r\nhost: x\r\ncontent-length: ${UPLOAD_BYTES}\r\n\r\n`)
  socket.write(Buffer.alloc(UPLOAD_BYTES))
  await new Promise((resolve) => socket.once('close', resolve))
  return { text: text.slice(text.indexOf('\r\n\r\n') + 4), isReset }
}

// Guards against a whole response that its client takes for a cut one: only the orderly end of the connection shows that it is whole, and a
// connection that is closed while body bytes arrive is reset.
test('a response without a length that comes early in an upload ends in order', async (t) => {
  const respond = async (_req: IncomingMessage, res: ServerResponse) => {
    const body = createByteQueue(() => {})
    body.push(Buffer.from('stored'))
    body.end()
    const finish = Promise.resolve({ kind: 'complete' as const, report: { pathLevel: 0, regionBytes: 0 } })
    await writeResponse(res, { status: 200, headers: [], unframed: true }, body, finish, [])
  }
  const server = await startCallerServer({ host, port: 0 }, respond, respond)
  for (let i = 0; i < 5; i++) t.deepEqual(await uploadToEarlyResponse(server.port), { text: 'stored', isReset: false })
  await server.drain()
})
