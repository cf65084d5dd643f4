import { createCanceller } from '@orioleslip/core'
import test from 'ava'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createTargetClient } from './target-client.js'

// Guards against a request that waits for a free connection until its deadline has passed, and is sent by a process whose timers are late.
test('a request whose deadline passed while it waited for a connection is not sent', async (t) => {
  const paths: string[] = []
  let held: ServerResponse | undefined
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    if (req.url === '/first') held = res
    else res.end()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = createTargetClient({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }, 1)
  t.teardown(async () => {
    await client.close()
    server.close()
  })
  let leftMs = 1000
  const run = (path: string) => client.run({
    method: 'GET', path, headers: [], body: { kind: 'none' }, signal: createCanceller().signal, remainingMs: () => leftMs
  })
  const first = run('/first')
  await once(server, 'request')
  const second = run('/second')
  leftMs = 0
  held?.end('ok')
  const reply = await first
  if (reply.kind === 'head') while (await reply.body.read() !== undefined);
  t.like(await second, { kind: 'failed', sent: false })
  t.deepEqual(paths, ['/first'])
})
