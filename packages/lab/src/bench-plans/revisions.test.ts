import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import type { FleetVm } from '../fleet/fleet.js'
import { readNodeState } from './revisions.js'

// Guards against a refusal that is taken for the state of a node, so that the benchmark waits in vain for confirmed lists.
test('the state of a node is read with a signed request, and a refusal is no state', async (t) => {
  let isRefused = false
  const server = createServer((req, res) => {
    const isSigned = req.headers.authorization !== undefined
    res.writeHead(isSigned && !isRefused ? 200 : 401, { 'content-type': 'application/json' })
    res.end(JSON.stringify(isSigned && !isRefused ? { revision: 3, listsConfirmed: true } : { error: 'not signed' }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const vm = { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` } as FleetVm
  t.deepEqual(await readNodeState(vm), { revision: 3, listsConfirmed: true })
  isRefused = true
  t.is(await readNodeState(vm), undefined)
})
