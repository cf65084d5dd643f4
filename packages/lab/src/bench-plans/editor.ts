import { randomUUID } from 'node:crypto'
import { callControl, createControlClient, toAuthority, type EditCallReply, type StatusReply } from '@orioleslip/control/client'
import { listsSchema, systemClock, type Lists, type Random } from '@orioleslip/core'
import type { Fleet } from '../fleet/fleet.js'
import { OPERATOR } from '../fleet/settings-files.js'

/** An accepted edit; times are wall clock in ms. */
export type AcceptedEdit = { revision: number, sentMs: number, acceptedMs: number, tries: number }

export type Editor = {
  /** Moves one customer to another plan; retries with the same edit id until a control VM accepts it. */
  edit: () => Promise<AcceptedEdit>
  status: () => Promise<StatusReply | undefined>
  close: () => Promise<void>
}

const CALL_TIMEOUT_MS = 1500
const RETRY_PAUSE_MS = 20
const EDIT_TIMEOUT_MS = 60_000
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

/** Creates an operator client that edits from its own copy of the lists in effect, so it must be their only editor. */
export async function createEditor (fleet: Fleet, initialLists: Lists, random: Random): Promise<Editor> {
  const clients = fleet.controls.map(({ vm }) => createControlClient({
    authority: toAuthority(vm.address, vm.apiPort),
    principal: { kind: 'operator', name: OPERATOR.name },
    key: OPERATOR.key,
    clock: systemClock,
    timeoutMs: CALL_TIMEOUT_MS
  }))
  let lists = initialLists
  let controlIndex = 0
  let revision = (await clients[0]!.api.get.query()).document.revision

  async function edit (): Promise<AcceptedEdit> {
    const customer = `customer-${random.int(Object.keys(lists.customers).length)}`
    const plan = (Number(lists.customers[customer]!.slice('plan-'.length)) + 1) % PLANS
    const next = { ...lists, customers: { ...lists.customers, [customer]: `plan-${plan}` } }
    const input = { editId: randomUUID(), baseRevision: revision, lists: next }
    const sentMs = Date.now()
    for (let tries = 1; Date.now() - sentMs < EDIT_TIMEOUT_MS; tries++) {
      const res = await callControl<EditCallReply>(clients[controlIndex]!.api.edit.mutate(input))
      if (res.isOk() && res.value.kind === 'accepted') {
        lists = next
        revision = res.value.revision
        return { revision, sentMs, acceptedMs: Date.now(), tries }
      }
      if (res.isOk() && (res.value.kind === 'conflict' || res.value.kind === 'invalid' || res.value.kind === 'editIdReused')) {
        throw new Error(`edit on revision ${revision} was rejected: ${JSON.stringify(res.value)}; this tool must be the only editor`)
      }
      controlIndex = (controlIndex + 1) % clients.length
      await systemClock.sleep(RETRY_PAUSE_MS)
    }
    throw new Error(`no control VM accepted an edit within ${EDIT_TIMEOUT_MS} ms; see the logs of the control VMs`)
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
