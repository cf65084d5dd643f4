// MIXED: a response without a length that is cut by the end of the node looks complete to the client.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { TROUBLE, call, clientHeaders, createAppServer, openConnection, requestBytes, rule, runCase, sleep } from '../lib/fleet.mjs'

const PIECES = 8
const PIECE_MS = 200
const PIECE = 'the body of the response, one piece of eight \n'
const CLIENTS = 4

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet) => {
  const { note } = fleet
  const entry = fleet.startNode('side-entry', 'portal')
  const beside = fleet.startNode('side-listings', 'listings')
  await fleet.configure(1, 0, [{ Host: 'listings.example', Rules: [rule('/list/', 'idempotent', { Service: 'listings' })] }], ['listings'])
  await fleet.until('nodes ready', async () => await entry.isReady() && await beside.isReady())

  // The server answers without a length and ends the response with its connection, as PROTOCOL and RULES allow.
  const work = (req, res, run, later) => {
    if (!req.url.includes('unframed')) return res.writeHead(200, { 'content-length': 2 }).end('ok')
    const { requestId } = run
    req.socket.write(`HTTP/1.1 200 OK\r\nOrioleslip-Request-Id: ${requestId}\r\nOrioleslip-Server-Signature: listings.${requestId}\r\nConnection: close\r\n\r\n`)
    for (let i = 1; i <= PIECES; i++) {
      later(i * PIECE_MS, () => {
        if (req.socket.destroyed) return
        req.socket.write(PIECE)
        if (i < PIECES) return
        note(`server has sent the whole body of ${requestId}, ${PIECES * PIECE.length} bytes`)
        req.socket.end()
      })
    }
  }
  const listings = createAppServer(fleet, beside, { id: 'i-listings-1', service: 'listings', slots: 16, work })
  await listings.start()
  await fleet.until('a request is served', async () =>
    (await call(entry.outbound, { path: '/list/a', headers: clientHeaders('listings.example', `warm-${Date.now()}`) })).status === 200)

  const connections = []
  for (let i = 0; i < CLIENTS; i++) {
    const connection = await openConnection(entry.outbound)
    connection.id = `unframed-${i}`
    connection.socket.write(requestBytes('GET', '/list/unframed', clientHeaders('listings.example', connection.id)))
    connections.push(connection)
  }
  await sleep(3.5 * PIECE_MS)
  if (TROUBLE) entry.signal('SIGKILL')
  await Promise.all(connections.map(({ ended }) => ended))
  let broken = 0
  for (const { id, bytes, end } of connections) {
    const text = bytes.toString('latin1')
    const headEnd = text.indexOf('\r\n\r\n')
    const head = text.slice(0, headEnd)
    const bodyBytes = text.length - headEnd - 4
    const status = /^HTTP\/1\.1 (\d+)/.exec(head)?.[1]
    // Without Content-Length and chunked encoding, the orderly end of the connection is the end of the body (RFC 9112, section 6.3).
    const framed = /\r\n(content-length|transfer-encoding):/i.test(head)
    const looksComplete = status === '200' && !framed && end === 'closed'
    note(`client of ${id}: status ${status}, ${framed ? 'framed' : 'no length'}, ${bodyBytes} of ${PIECES * PIECE.length} body bytes, connection ${end}`)
    if (status === '200') note(`  head: ${head.replaceAll('\r\n', ' | ')}`)
    if (looksComplete && bodyBytes !== PIECES * PIECE.length) {
      broken++
      note(`BROKEN: the response to ${id} looks complete and is not the server's whole body`)
    }
  }
  return broken === 0
})
