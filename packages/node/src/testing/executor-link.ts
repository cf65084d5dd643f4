import type { ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { systemClock } from '@orioleslip/core'
import { createTargetGate } from '../admission/target-gate.js'
import { createExecutor } from '../calls/executor.js'
import { createInboundCalls } from '../calls/inbound-calls.js'
import { noCrashGuard } from '../crashes/no-crash-guard.js'
import { listenForPeers } from '../links/listener.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallHead } from '../links/messages.js'
import { createPeerPool } from '../links/pool.js'
import { createLocalTarget } from '../target/local-target.js'

const HOST = '127.0.0.1'
const KEY = 'a-fleet-key-for-tests'
/** Time for which `standStill` keeps the process from running, in ms. */
export const GAP_MS = 700

/** Keeps this process from running, as a lack of processor time does: what arrives meanwhile stays unread. */
export function standStill (): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, GAP_MS)
}

/** Starts a target that answers each request, and returns its port and the paths that it has received. */
export async function startCountingTarget (t: ExecutionContext) {
  const paths: string[] = []
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    res.end('ok')
  })
  server.listen(0, HOST)
  await once(server, 'listening')
  t.teardown(() => server.close())
  return { port: (server.address() as AddressInfo).port, paths }
}

/** Starts a peer listener that handles calls with `onCall`, and opens a connection to it. */
export async function openLink (t: ExecutionContext, onCall: (call: IncomingCall) => void) {
  const listener = await listenForPeers({
    address: { host: HOST, port: 0 },
    identity: { fleetKey: KEY, vmId: 'b' },
    handlers: { onCall, onRequest: () => undefined },
    onRejected: () => {}
  })
  const pool = createPeerPool({ fleetKey: KEY, vmId: 'a' }, () => undefined)
  t.teardown(async () => {
    pool.close()
    await listener.close()
  })
  const found = await pool.get({ host: HOST, port: listener.port })
  return { connection: 'openCall' in found ? found : found._unsafeUnwrap() }
}

/** Starts an executor behind a peer listener, and opens a connection to it on which a call has been answered. */
export async function startExecutorLink (t: ExecutionContext) {
  const { port, paths } = await startCountingTarget(t)
  const gate = createTargetGate({ clock: systemClock })
  const target = createLocalTarget(HOST)
  target.onStarted(gate.targetStarted)
  target.announce({ service: 'shop', port, capacity: 200, state: 'ready', instance: 'i' })
  const executor = createExecutor({
    target,
    gate,
    inbound: createInboundCalls(systemClock.nowMs),
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    crashes: noCrashGuard,
    clock: systemClock,
    callRefusal: () => undefined
  })
  const { connection } = await openLink(t, executor.execute)
  t.is((await connection.openCall(shopHead('/warm')).reply).kind, 'head')
  paths.length = 0
  return { connection, paths }
}

/** Creates the head of a call without a body for the target of `startExecutorLink`. */
export function shopHead (path: string, remainingMs = 5000): CallHead {
  return {
    root: {
      requestId: path, traceId: 't', customer: '', entryOpKey: 'op', priority: 9, ledger: { host: HOST, port: 1 }, region: 'r1'
    },
    service: 'shop',
    method: 'GET',
    path,
    headers: [],
    opKey: 'op',
    remainingMs,
    traceFlags: '00',
    deferBody: false,
    bodyBytes: 0
  }
}
