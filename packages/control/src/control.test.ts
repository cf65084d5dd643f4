import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { settingsSchema, systemClock } from '@orioleslip/core'
import { loopbackHost } from '@orioleslip/core/testing'
import { pino } from 'pino'
import { createControlClient, type ControlClient } from './api/client.js'
import { startControl, type Control } from './control.js'
import { FLEET_KEY, OPERATOR_KEY } from './testing/api-fixture.js'

const HOST = loopbackHost()
let nextPort = 20_000

/** Creates control VMs that run in this process, in temporary folders. */
async function createFleet (count: number) {
  const root = await mkdtemp(join(tmpdir(), 'orioleslip-fleet-'))
  const ports = Array.from({ length: count }, () => nextPort++)
  const controls = ports.map((port, i) => ({ vmId: `c${i + 1}`, address: HOST, apiPort: port, gossipPort: 1, failureDomain: `d${i}` }))
  const running = new Map<number, Control>()
  const dataDir = (i: number) => join(root, `c${i + 1}`)
  const operator = (i: number): ControlClient => createControlClient({
    authority: `${HOST}:${ports[i]}`, principal: { kind: 'operator', name: 'ana' }, key: OPERATOR_KEY, clock: systemClock
  })
  const fleet = createControlClient({ authority: `${HOST}:${ports[0]}`, principal: { kind: 'fleet' }, key: FLEET_KEY, clock: systemClock })
  return {
    operators: ports.map((_, i) => operator(i).api),
    fleet: fleet.api,
    dataDir,
    start: async (i: number) => {
      const settings = settingsSchema.parse({
        role: 'control',
        vm: { id: `c${i + 1}`, address: HOST, region: 'r1', failureDomain: `d${i}` },
        control: { apiPort: ports[i], gossipPort: 1, dataDir: dataDir(i) },
        controls,
        auth: { fleetKey: FLEET_KEY, operators: [{ name: 'ana', key: OPERATOR_KEY }] }
      })
      running.set(i, (await startControl(settings, { log: pino({ level: 'silent' }) }))._unsafeUnwrap())
    },
    stop: async (i: number) => {
      await running.get(i)?.stop()
      running.delete(i)
    },
    remove: async () => {
      await Promise.all([...running.values()].map((control) => control.stop()))
      await rm(root, { recursive: true })
    }
  }
}

const editOf = (baseRevision: number, customer: string) => ({
  editId: `edit-${customer}`,
  baseRevision,
  lists: { customers: { [customer]: 'basic' }, plans: { basic: { ratePerSecond: 1, burst: 1, operations: [] } } }
})

type Api = ControlClient['api']

/** Resends an edit while the control VMs elect a leader. */
async function edit (api: Api, input: ReturnType<typeof editOf>) {
  for (;;) {
    const reply = await api.edit.mutate(input)
    if (reply.kind !== 'notLeader' && reply.kind !== 'outcomeUnknown') return reply
  }
}

// Guards against edits that only the leader accepts, accepted edits that are lost when the leader stops, and a control VM that returns
// with an empty disk and serves old lists as current or lacks a part of the audit trail.
test('edits go to any control VM and survive the loss of the leader', async (t) => {
  const vms = await createFleet(3)
  t.teardown(vms.remove)
  await Promise.all([0, 1, 2].map(vms.start))
  t.deepEqual(await vms.operators[0]!.clusterInit.mutate(undefined), { kind: 'initialized' })
  t.deepEqual(await vms.operators[2]!.clusterInit.mutate(undefined), { kind: 'exists' })
  const held = vms.fleet.lists.since.query({ vmId: 'n1', revision: 0, waitMs: 5000 })
  t.deepEqual(await edit(vms.operators[1]!, editOf(0, 'one')), { kind: 'accepted', revision: 1 })
  t.like(await held, { confirmed: true, change: { kind: 'full', document: { revision: 1 } } })
  t.deepEqual(await edit(vms.operators[2]!, editOf(0, 'two')), { kind: 'conflict', revision: 1 })

  const { controls, nodes } = await vms.operators[1]!.status.query()
  t.deepEqual(nodes.map(({ vmId, revision }) => [vmId, revision]), [['n1', 0]])
  const leader = controls.findIndex((control) => control.reachable && control.groups[0]?.role === 'leader')
  const leaderVm = controls[leader]!.vmId
  const leaderIndex = Number(leaderVm.slice(1)) - 1
  const others = [0, 1, 2].filter((i) => i !== leaderIndex)
  await vms.stop(leaderIndex)
  t.deepEqual(await edit(vms.operators[others[0]!]!, editOf(1, 'three')), { kind: 'accepted', revision: 2 })
  t.deepEqual(await edit(vms.operators[others[1]!]!, editOf(0, 'one')), { kind: 'accepted', revision: 1 })

  // The VM comes back with an empty disk, and must end with the same lists and the whole audit trail.
  await rm(vms.dataDir(leaderIndex), { recursive: true })
  await vms.start(leaderIndex)
  const returned = vms.operators[leaderIndex]!
  for (;;) {
    const { confirmed, document } = await returned.get.query()
    if (confirmed && document.revision === 2) break
    await systemClock.sleep(50)
  }
  const reports = await Promise.all(vms.operators.map((api) => api.auditVerify.query()))
  t.deepEqual(reports.map(({ kind }) => kind), ['intact', 'intact', 'intact'])
  t.is(new Set(reports.map((report) => report.kind === 'intact' && report.head.hash)).size, 1)
})
