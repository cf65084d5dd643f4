import { pino } from 'pino'
import test from 'ava'
import { createRoutesRouter } from '../routes/router.js'
import { startApiServer } from './server.js'

// Guards against a poll or a message between control VMs whose connection is closed without an answer when a stop does not see its end.
test('a call that is open at the end of a stop is refused', async (t) => {
  const unanswered = () => new Promise<never>(() => {})
  let began = () => {}
  const open = new Promise<void>((resolve) => { began = resolve })
  const replicaMessage = () => {
    began()
    return unanswered()
  }
  const server = (await startApiServer({
    address: '127.0.0.1',
    port: 0,
    authority: '',
    verify: () => ({ kind: 'fleet' }),
    recordRefusedChange: () => {},
    log: pino({ level: 'silent' }),
    router: createRoutesRouter({ node: { since: unanswered }, replicaMessage })
  }))._unsafeUnwrap()
  const reply = fetch(`http://127.0.0.1:${server.port}/trpc/message`, {
    method: 'POST', body: '{}', headers: { 'content-type': 'application/json' }
  }).then(async (res) => [res.status, await res.text()], () => ['cut'])
  await open
  await server.stop()
  t.deepEqual(await reply, [503, '{"Error":"the control process is stopping; ask another control VM"}'])
})
