import { once } from 'node:events'
import { Agent, request, type IncomingMessage, type ServerResponse } from 'node:http'
import test from 'ava'
import { unusedPort } from '../testing/node-pair.js'
import { startCallerServer } from './caller-server.js'

const host = '127.0.0.1'

async function get (port: number, agent: Agent): Promise<IncomingMessage> {
  const req = request({ host, port, path: '/a/b', agent }).end()
  const [res] = await once(req, 'response') as [IncomingMessage]
  res.resume()
  await once(res, 'end')
  return res
}

// Guards against refusals of a stopping node that leave the connection open until the process cuts it.
test('every response of a stopping node closes its connection', async (t) => {
  const port = await unusedPort()
  let stopping = false
  const answer = async (_req: IncomingMessage, res: ServerResponse) => {
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port }, answer, answer, () => stopping)
  const agent = new Agent({ keepAlive: true })
  t.is((await get(port, agent)).headers.connection, 'keep-alive')
  stopping = true
  t.is((await get(port, agent)).headers.connection, 'close')
  agent.destroy()
  await server.drain()
})

// Guards against a request that arrives in the last moments of a stop being cut instead of answered.
test('a drain lets an open request end and takes no new connection', async (t) => {
  const port = await unusedPort()
  let arrived: () => void = () => {}
  let release: () => void = () => {}
  const atServer = new Promise<void>((resolve) => { arrived = resolve })
  const released = new Promise<void>((resolve) => { release = resolve })
  const answer = async (_req: IncomingMessage, res: ServerResponse) => {
    arrived()
    await released
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port }, answer, answer, () => true)
  const open = get(port, new Agent({ keepAlive: true }))
  await atServer
  const drained = server.drain()
  const late = await get(port, new Agent()).catch((err: NodeJS.ErrnoException) => err.code)
  t.is(late, 'ECONNREFUSED')
  release()
  t.is((await open).statusCode, 503)
  await drained
  t.pass()
})
