import { once } from 'node:events'
import { Agent, request, type IncomingMessage, type ServerResponse } from 'node:http'
import test from 'ava'
import { startCallerServer } from './caller-server.js'

const host = '127.0.0.1'

async function get (port: number, agent: Agent): Promise<IncomingMessage> {
  const req = request({ host, port, path: '/a/b', agent }).end()
  const [res] = await once(req, 'response') as [IncomingMessage]
  res.resume()
  await once(res, 'end')
  return res
}

// Guards against keep-alive connections that stay open after a refusal by a stopping node: the client loses a request that it sends on one
// while the process exits.
test('every response of a stopping node closes its connection', async (t) => {
  let stopping = false
  const handle = async (_req: IncomingMessage, res: ServerResponse) => {
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle, { stopping: () => stopping })
  const agent = new Agent({ keepAlive: true })
  t.is((await get(server.port, agent)).headers.connection, 'keep-alive')
  stopping = true
  t.is((await get(server.port, agent)).headers.connection, 'close')
  agent.destroy()
  await server.drain()
})

// Guards against a request that arrives just before the stop and whose connection is closed before its response is sent.
test('a drain completes open requests and accepts no new connections', async (t) => {
  let arrived: () => void = () => {}
  let release: () => void = () => {}
  const atServer = new Promise<void>((resolve) => { arrived = resolve })
  const released = new Promise<void>((resolve) => { release = resolve })
  const handle = async (_req: IncomingMessage, res: ServerResponse) => {
    arrived()
    await released
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle, { stopping: () => true })
  const open = get(server.port, new Agent({ keepAlive: true }))
  await atServer
  const drained = server.drain()
  const late = await get(server.port, new Agent()).catch((err: NodeJS.ErrnoException) => err.code)
  t.is(late, 'ECONNREFUSED')
  release()
  t.is((await open).statusCode, 503)
  await drained
  t.pass()
})
