import { createServer } from 'node:net'
import test from 'ava'
import { loopbackHost } from './loopback-host.js'

const HOSTS = [0, 1, 2, 3].map(loopbackHost)

// Guards against test listeners that fail because another one has the same address and port.
test('a thread has several loopback addresses on which the same port can be opened', async (t) => {
  const servers = HOSTS.map(() => createServer())
  t.teardown(() => servers.forEach((server) => server.close()))
  await Promise.all(servers.map((server, i) => new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(20_000, HOSTS[i], resolve)
  })))
  t.is(new Set(HOSTS).size, HOSTS.length)
  t.throws(() => loopbackHost(HOSTS.length), { message: /is not below/ })
})
