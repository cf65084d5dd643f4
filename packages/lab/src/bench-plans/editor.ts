import { randomUUID } from 'node:crypto'
import { callControl, createControlClient, toAuthority, type EditAnswer, type StatusAnswer } from '@orioleslip/control/client'
import { listsSchema, systemClock, type Lists, type Random } from '@orioleslip/core'
import type { Fleet } from '../fleet/fleet.js'
import { OPERATOR } from '../fleet/settings-files.js'

/** An accepted edit; times are wall clock in ms. */
export type AcceptedEdit = { revision: number, sentMs: number, acceptedMs: number, tries: number }

export type Editor = {
  /** Moves one customer to another plan; repeats the edit with the same id until it is accepted. */
  edit: () => Promise<AcceptedEdit>
  status: () => Promise<StatusAnswer | undefined>
  close: () => Promise<void>
}

const TIMEOUT_MS = 1500
const RETRY_PAUSE_MS = 20
const LIMIT_MS = 60_000
const PLANS = 10
const OPERATIONS_PER_PLAN = 42

/** Lists with ten plans of two operations for each of the 21 services. */
export function benchLists (customers: number): Lists {
  const operations = Array.from({ length: OPERATIONS_PER_PLAN }, (_, i) => ({
    service: `service-${i % 21}`, method: i < 21 ? 'GET' : 'POST', path: '/items/:id', importance: i < 21 ? 'browse' : 'claim', repeatable: i < 21
  }))
  const plans = Object.fromEntries(Array.from({ length: PLANS }, (_, i) => [`plan-${i}`, { ratePerSecond: 100 + i, burst: 20, operations }]))
  const names = Array.from({ length: customers }, (_, i) => [`customer-${i}`, `plan-${i % PLANS}`])
  return listsSchema.parse({ customers: Object.fromEntries(names), plans })
}

/** Creates an operator who knows the lists in effect and is their only editor. */
export async function createEditor (fleet: Fleet, start: Lists, random: Random): Promise<Editor> {
  const clients = fleet.controls.map(({ vm }) => createControlClient({
    authority: toAuthority(vm.address, vm.apiPort),
    principal: { kind: 'operator', name: OPERATOR.name },
    key: OPERATOR.key,
    clock: systemClock,
    timeoutMs: TIMEOUT_MS
  }))
  let lists = start
  let at = 0
  let revision = (await clients[0]!.api.get.query()).document.revision

  async function edit (): Promise<AcceptedEdit> {
    const customer = `customer-${random.int(Object.keys(lists.customers).length)}`
    const plan = (Number(lists.customers[customer]!.slice('plan-'.length)) + 1) % PLANS
    const next = { ...lists, customers: { ...lists.customers, [customer]: `plan-${plan}` } }
    const input = { editId: randomUUID(), baseRevision: revision, lists: next }
    const sentMs = Date.now()
    for (let tries = 1; Date.now() - sentMs < LIMIT_MS; tries++) {
      const res = await callControl<EditAnswer>(clients[at]!.api.edit.mutate(input))
      if (res.isOk() && res.value.kind === 'accepted') {
        lists = next
        revision = res.value.revision
        return { revision, sentMs, acceptedMs: Date.now(), tries }
      }
      if (res.isOk() && (res.value.kind === 'conflict' || res.value.kind === 'invalid' || res.value.kind === 'editIdReused')) {
        throw new Error(`edit of revision ${revision} got ${JSON.stringify(res.value)}; this tool must be the only editor`)
      }
      at = (at + 1) % clients.length
      await systemClock.sleep(RETRY_PAUSE_MS)
    }
    throw new Error(`no control VM accepted an edit within ${LIMIT_MS} ms; see the logs of the control VMs`)
  }

  return {
    edit,
    status: async () => {
      for (const { api } of clients) {
        const res = await callControl(api.status.query())
        if (res.isOk()) return res.value
      }
      return undefined
    },
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
