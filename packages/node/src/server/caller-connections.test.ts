import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { socketClosed } from '@orioleslip/core/testing'
import test, { type ExecutionContext } from 'ava'
import type { UnansweredEnd } from './caller-connections.js'
import { startCallerServer, type CallerServerOptions } from './caller-server.js'

const host = '127.0.0.1'

/** Starts a server whose requests are answered by `answer`, by their path, and connects to it. */
async function startServer (t: ExecutionContext, options: CallerServerOptions = {}) {
  const requests = new Map<string, ServerResponse>()
  const started: string[] = []
  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    started.push(req.url!)
    requests.set(req.url!, res)
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle, options)
  const socket = connect(server.port, host)
  let text = ''
  socket.on('data', (chunk: Buffer) => { text += chunk.toString() })
  socket.on('error', () => {})
  await once(socket, 'connect')
  t.teardown(() => {
    socket.destroy()
    server.abort()
    return server.drain()
  })
  const answer = (path: string) => requests.get(path)!.writeHead(200, ['content-length', String(path.length)]).end(path)
  return { socket, started, answer, received: () => text }
}

const get = (...paths: string[]) => paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`).join('')

async function until (t: ExecutionContext, check: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !check(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
  t.true(check())
}

async function closed (socket: Socket): Promise<void> {
  const ended = socketClosed(socket)
  socket.resume()
  await ended
}

// Guards against logs that say that all went well when a request that was passed on got no answer.
test('the end of a connection with an open request is reported', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a'))
  await until(t, () => started.length === 1)
  socket.destroy()
  await until(t, () => ends.length === 1)
  t.deepEqual([ends[0]!.unanswered.map((req) => req.url), ends[0]!.byResponse], [['/a'], false])
})

test('the end of a connection whose requests are answered is not reported', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started, answer } = await startServer(t, { stopping: () => true, onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a'))
  await until(t, () => started.length === 1)
  answer('/a')
  await closed(socket)
  t.deepEqual(ends, [])
})
