import { mkdtemp, rm } from 'node:fs/promises'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createControlClient } from '@orioleslip/control/client'
import { listsSchema, settingsSchema, systemClock, WELL_KNOWN_PREFIX } from '@orioleslip/core'
import { loopbackHost } from '@orioleslip/core/testing'
import type { ExecutionContext } from 'ava'
import { pino } from 'pino'
import { Agent, request } from 'undici'
import { startRole, type RunningRole } from '../roles.js'

const FLEET_KEY = 'fleet-key-0123456789'
const OPERATOR_KEY = 'operator-key-0123456789'
const POLL_MS = 50
const READY_TIMEOUT_MS = 20_000
/** Ports of one process. Each process of a test file has others: the address of one that has just ended may still be held. */
const PORTS = 4
let nextPort = 21_000

/** Time until a stopping node refuses new requests, and longest wait for its open ones behind that, in ms. */
export const LEAVE_MS = 3000
export const DRAIN_MS = 3000

/** A node of the fleet. */
export type PlansNode = RunningRole & { url: string, host: string, callerPort: number }

type Place = { vmId: string, address: string, callerPort: number, peerPort: number, gossipPort: number }

/** Lists with a read, an upload and a claim for both services. */
const lists = () => listsSchema.parse({
  customers: { c: 'p' },
  plans: {
    p: {
      ratePerSecond: 10_000,
      burst: 10_000,
      operations: ['shop', 'stock'].flatMap((service) => [
        { service, method: 'GET', path: '/items/:id', importance: 'browse', repeatable: true },
        { service, method: 'PUT', path: '/sheets/:id', importance: 'upload', repeatable: true },
        { service, method: 'POST', path: '/orders/:id', importance: 'claim', repeatable: false }
      ])
    }
  }
})

async function waitUntil (what: string, check: () => Promise<boolean>): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < endMs) {
    if (await check().catch(() => false)) return
    await systemClock.sleep(POLL_MS)
  }
  throw new Error(`timed out waiting for ${what}`)
}

/**
 * Starts a control process, a node "entry" beside a target of "stock" and a node "beside" beside one of "shop", all in this process.
 * The targets are served by `respond`, which gets the URL of the node beside them.
 */
export async function startPlansFleet (
  t: ExecutionContext, respond: (req: IncomingMessage, res: ServerResponse, nodeUrl: string) => void
) {
  const dataDir = await mkdtemp(join(tmpdir(), 'orioleslip-plans-'))
  t.teardown(() => rm(dataDir, { recursive: true }))
  const ports = () => (nextPort += PORTS)
  const apiPort = ports()
  const controls = [{ vmId: 'c1', address: loopbackHost(0), apiPort, gossipPort: apiPort + 1, failureDomain: 'r1-a' }]
  const auth = { fleetKey: FLEET_KEY, operators: [{ name: 'ana', key: OPERATOR_KEY }] }

  const start = async (settings: object): Promise<RunningRole> => {
    const role = (await startRole(settingsSchema.parse(settings), { log: pino({ level: 'silent' }) }))._unsafeUnwrap()
    let stopped: Promise<void> | undefined
    const stop = () => {
      stopped ??= role.stop()
      return stopped
    }
    t.teardown(stop)
    return { drain: role.drain, stop }
  }

  const startTarget = async ({ vmId, address, callerPort }: Place, service: string): Promise<void> => {
    const server = createServer((req, res) => respond(req, res, `http://${address}:${callerPort}`))
    server.listen(0, address)
    await once(server, 'listening')
    t.teardown(() => {
      server.closeAllConnections()
      server.close()
    })
    const announcement = { service, port: (server.address() as AddressInfo).port, capacity: 20, state: 'ready', instance: vmId }
    // Announcements are accepted from the address of the node only.
    const dispatcher = new Agent({ localAddress: address })
    t.teardown(() => dispatcher.destroy())
    const announce = () => request(`http://${address}:${callerPort}${WELL_KNOWN_PREFIX}target`, {
      method: 'PUT', body: JSON.stringify(announcement), headers: { 'content-type': 'application/json' }, dispatcher
    }).then((res) => res.body.dump(), () => undefined)
    await announce()
    const timer = setInterval(announce, 500)
    t.teardown(() => clearInterval(timer))
  }

  const startNode = async (vmId: string, index: number, service: string): Promise<PlansNode> => {
    const port = ports()
    const place = { vmId, address: loopbackHost(index), callerPort: port, peerPort: port + 1, gossipPort: port + 2 }
    const { address, callerPort, peerPort, gossipPort } = place
    const role = await start({
      role: 'node',
      vm: { id: vmId, address, region: 'r1', failureDomain: 'r1-a' },
      node: { callerPort, peerPort, gossipPort, drainTimeoutS: DRAIN_MS / 1000 },
      controls,
      auth
    })
    await startTarget(place, service)
    return { ...role, url: `http://${address}:${callerPort}`, host: address, callerPort }
  }

  const control = await start({
    role: 'control',
    vm: { id: 'c1', address: loopbackHost(0), region: 'r1', failureDomain: 'r1-a' },
    control: { apiPort, gossipPort: apiPort + 1, dataDir },
    controls,
    auth
  })
  const operator = createControlClient({
    authority: `${loopbackHost(0)}:${apiPort}`, principal: { kind: 'operator', name: 'ana' }, key: OPERATOR_KEY, clock: systemClock
  })
  t.teardown(operator.close)
  await operator.api.clusterInit.mutate(undefined)
  await waitUntil('the lists', async () => {
    const reply = await operator.api.edit.mutate({ editId: 'edit-0001', baseRevision: 0, lists: lists() }) as { kind: string }
    return reply.kind === 'accepted'
  })
  const entry = await startNode('entry', 1, 'stock')
  const beside = await startNode('beside', 2, 'shop')
  for (const node of [entry, beside]) {
    for (const service of ['shop', 'stock']) {
      await waitUntil(`${service} at ${node.url}`, async () => (await sendTo(node, 'GET', `/${service}/items/ready`)).status === 200)
    }
  }
  return {
    control,
    entry,
    beside,
    /** Starts another node beside a target of "shop", and waits until `from` sends requests there. */
    startSpare: async (from: PlansNode) => {
      await startNode('spare', 3, 'shop')
      await waitUntil('the spare node', async () => (await sendTo(from, 'GET', '/shop/items/ready')).status === 200)
    }
  }
}

/** Result of a request; the status is `lost` if its connection ended without a whole answer. */
export type Sent = { status: number | 'lost', outcome: string | undefined, text: string, answeredMs: number }

/** Sends a request over a connection of its own, and waits for its whole answer. */
export async function sendTo (
  { url }: Pick<PlansNode, 'url'>, method: 'GET' | 'POST', path: string, headers: Record<string, string> = {}
): Promise<Sent> {
  const ended = (status: Sent['status'], outcome?: string, text = ''): Sent => ({ status, outcome, text, answeredMs: performance.now() })
  try {
    const res = await request(`${url}${path}`, {
      method, reset: true, headers: { 'orioleslip-customer': 'c', 'orioleslip-timeout-ms': '15000', ...headers }
    })
    const text = await res.body.text()
    return ended(res.statusCode, res.headers['orioleslip-outcome'] as string | undefined, text)
  } catch {
    return ended('lost')
  }
}
