import test from 'ava'
import { openUdpSocket } from './socket.js'

const HOST = '127.0.0.1'

// Guards against two processes that share a port unnoticed, and against a send after the close that throws and ends the process.
test('datagrams pass between two sockets, a used port is rejected and a send after the close is ignored', async (t) => {
  const errors: Error[] = []
  const a = await openUdpSocket({ host: HOST, port: 0 }, (err) => { errors.push(err) })
  const b = await openUdpSocket({ host: HOST, port: 0 }, (err) => { errors.push(err) })
  const received = new Promise<{ text: string, port: number }>((resolve) => {
    b.onMessage((data, from) => resolve({ text: Buffer.from(data).toString(), port: from.port }))
  })
  a.send(Buffer.from('probe'), b.address())
  t.deepEqual(await received, { text: 'probe', port: a.address().port })
  await t.throwsAsync(openUdpSocket(a.address(), () => {}), { code: 'EADDRINUSE' })
  a.close()
  b.close()
  a.send(Buffer.from('late'), b.address())
  t.deepEqual(errors, [])
})
