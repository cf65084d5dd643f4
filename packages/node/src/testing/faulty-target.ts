import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { ExecutionContext } from 'ava'
import { systemClock, type Refusal } from '@orioleslip/core'
import { createTargetGate } from '../admission/target-gate.js'
import { createExecutor } from '../calls/executor.js'
import { createInboundCalls } from '../calls/inbound-calls.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { createIncomingCall } from '../links/incoming-call.js'
import type { CallHead } from '../links/messages.js'
import { createForeignResponseTest, createResponseCheck, type CallHeaderNames } from '../routes/call-headers.js'
import { createLocalTarget } from '../target/local-target.js'

const NAMES: CallHeaderNames = {
  requestId: 'x-id', deadlineMs: 'x-deadline', expectedInstance: 'x-instance', callerService: 'x-caller', notExecuted: 'x-not-executed'
}
/** Time after which the calls of the fixture are cancelled, in ms. */
export const TIMEOUT_MS = 2000

/** Result of a call at the executor: its response with all of the body, or the refusal sent to the caller. */
export type Result = { kind: 'complete', status: number, body: string } | { kind: 'refused', status: number | undefined, refusal: Refusal }

/** Starts an executor beside a target that handles the `n`th request, counted from 1, with `respond`. */
export async function startFaultyTarget (t: ExecutionContext, respond: (socket: Socket, id: string, n: number) => void) {
  let requests = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    let text = ''
    socket.on('data', (chunk) => {
      text += chunk.toString()
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const id = /x-id: (\S+)/i.exec(text.slice(0, end))![1]!
        text = text.slice(end + 4)
        respond(socket, id, ++requests)
      }
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const gate = createTargetGate({ clock: systemClock, limiter: createAnnouncedLimit() })
  const target = createLocalTarget('127.0.0.1', { acceptUnframed: true, idHeader: NAMES.requestId })
  target.onStarted(gate.targetStarted)
  target.announce({ service: 'shop', port: (server.address() as AddressInfo).port, capacity: 10, state: 'ready', instance: 'i-1' })
  const inbound = createInboundCalls(systemClock.nowMs)
  const executor = createExecutor({
    target,
    gate,
    inbound,
    clock: systemClock,
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    callRefusal: () => undefined,
    isForeignResponse: createForeignResponseTest(NAMES),
    checkResponse: createResponseCheck(NAMES)
  })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  const call = (id: string): Promise<Result> => new Promise((resolve) => {
    let status: number | undefined
    const body: Uint8Array[] = []
    const root = { requestId: id, traceId: id, customer: '', entryOpKey: 'op', priority: 9, ledger: { host: '', port: 1 }, region: 'r' }
    const head: CallHead = {
      root,
      service: 'shop',
      method: 'GET',
      path: '/',
      headers: ['x-id', id],
      opKey: 'op',
      remainingMs: TIMEOUT_MS,
      traceFlags: '00',
      deferBody: false,
      bodyBytes: 0
    }
    const incoming = createIncomingCall(head, (msg) => {
      switch (msg.type) {
        case 'responseHead': status = msg.head.status; break
        case 'responseData':
          body.push(msg.chunk)
          // The caller reads the body at once.
          incoming.receive({ type: 'credit', bytes: msg.chunk.length })
          break
        case 'responseEnd': return resolve({ kind: 'complete', status: status!, body: Buffer.concat(body).toString() })
        case 'refuse': return resolve({ kind: 'refused', status, refusal: msg.refusal })
        default:
      }
    }, () => {})
    executor.execute(incoming)
  })
  /** Does what the kernel does when the target process is killed: its connections end in order, and nothing listens any more. */
  const endProcess = () => {
    server.close()
    for (const socket of sockets) socket.end()
  }
  return { call, inFlight: () => inbound.size(), requests: () => requests, endProcess }
}
