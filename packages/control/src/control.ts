import { join } from 'node:path'
import { createRequestVerifier, systemClock, type Clock, type Settings } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { toAuthority } from './api/address.js'
import { createRefusedChangeLog } from './api/refused-change-log.js'
import { callControl, createControlClient, type ControlClient } from './api/client.js'
import { createClusterInit } from './api/cluster-init.js'
import { createKeyCalls, type KeyGroup } from './api/key-calls.js'
import { createNodeReports } from './api/node-reports.js'
import { createNodeService } from './api/node-service.js'
import { createOperatorService } from './api/operator-service.js'
import { createControlRouter } from './api/router.js'
import { startApiServer } from './api/server.js'
import { createSharedConfirm } from './api/shared-confirm.js'
import { createStatusService, type VmReport } from './api/status-service.js'
import { createApiTransport, PEER_TIMEOUT_MS } from './api/transport.js'
import { openAuditArchive } from './audit/archive.js'
import { runArchiveBackfill } from './audit/archive-backfill.js'
import { createAuditTrail } from './audit/trail.js'
import { createKeyGroup } from './keys/key-group.js'
import { createListsStateMachine } from './lists/state-machine.js'
import { runMetrics, type Metrics } from './metrics.js'
import type { ReplicationMessage } from './replication/messages.js'
import { createReplicatedLog, type ControlLog } from './replication/replicated-log.js'

/** Dependencies of a control process. Without `metrics` none are sent; `clock` and `keyGroup` have defaults. */
export type ControlDeps = { log: Logger, metrics?: Metrics, clock?: Clock, keyGroup?: KeyGroup }
type GroupLog = Pick<ControlLog<never, unknown>, 'init' | 'status' | 'confirmCurrent' | 'handle' | 'close'>

/** A running control process. */
export type Control = { stop: () => Promise<void> }
/** The process can't start; `message` names the cause and the remedy. */
export type ControlStartError = { kind: 'controlStartFailed', message: string }

// Limits the time that `status` waits for another control VM that is frozen.
const REPORT_TIMEOUT_MS = 1500

/** Starts a control process: log groups, state machines and API. */
export async function startControl (settings: Settings, deps: ControlDeps): Promise<Result<Control, ControlStartError>> {
  const { log, metrics, clock = systemClock } = deps
  const { vm, control, controls, auth: { fleetKey, operators } } = settings
  const fail = (message: string) => err<Control, ControlStartError>({ kind: 'controlStartFailed', message })
  if (control === undefined) return fail('the settings have no [control] table; add it')
  const vmId = vm.id
  const keyGroup = deps.keyGroup ?? createKeyGroup({ clock, keyRetentionS: control.keyRetentionS, keyLimit: control.keyLimit })
  const authority = toAuthority(vm.address, control.apiPort)
  const others = controls.filter((peer) => peer.vmId !== vmId)
  const replicationPeers = controls.map((peer) => ({ vmId: peer.vmId, address: toAuthority(peer.address, peer.apiPort) }))
  const clients = new Map(others.map((peer): [string, ControlClient] => [peer.vmId, createControlClient({
    authority: toAuthority(peer.address, peer.apiPort), principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: PEER_TIMEOUT_MS
  })]))

  const archive = await openAuditArchive(join(control.dataDir, 'audit'), log).catch((cause: unknown) => {
    log.error({ err: cause }, 'Cannot open the audit archive; check control.dataDir and its permissions')
  })
  if (archive === undefined) return fail(`cannot open the audit archive in ${join(control.dataDir, 'audit')}; check control.dataDir and its permissions`)

  const machine = createListsStateMachine(archive.offer)
  const transport = createApiTransport(clients)
  const logOptions = { vmId, peers: replicationPeers, transport, clock, logger: log }
  const lists = await createReplicatedLog({ ...logOptions, group: 'lists', dir: join(control.dataDir, 'lists'), machine })
  if (lists.isErr()) return fail(lists.error.message)
  const listsLog = lists.value
  const keys = await createReplicatedLog({ ...logOptions, group: 'keys', dir: join(control.dataDir, 'keys'), machine: keyGroup.machine })
  if (keys.isErr()) {
    await listsLog.close()
    return fail(keys.error.message)
  }
  const keysLog = keys.value
  const groups = new Map<string, GroupLog>([['lists', listsLog], ['keys', keysLog]])

  const namedGroups = [...groups].map(([name, group]) => ({ name, log: group }))

  const stopping = new AbortController()
  const confirm = createSharedConfirm(() => listsLog.confirmCurrent())
  const reports = createNodeReports(clock)
  const vmReport = (): VmReport => ({
    vmId, revision: machine.document().revision, groups: [...groups.values()].map((group) => group.status()), nodes: reports.list()
  })
  const trail = createAuditTrail({ vmId, machine, archive })
  const server = await startApiServer({
    address: vm.address,
    port: control.apiPort,
    authority,
    verify: createRequestVerifier({ fleetKey, operators, clock }),
    recordRefusedChange: createRefusedChangeLog({ vmId, lists: listsLog, clock, log }),
    log,
    router: createControlRouter({
      operator: createOperatorService({ vmId, lists: listsLog, machine, confirm, clock, log }),
      status: createStatusService({
        authority,
        localReport: vmReport,
        peers: [...clients].map(([id, client]) => ({
          vmId: id,
          authority: client.authority,
          report: () => callControl(client.api.replica.report.query(undefined, { signal: AbortSignal.timeout(REPORT_TIMEOUT_MS) }))
        })),
        confirm
      }),
      clusterInit: createClusterInit({ vmId, groups: namedGroups, lists: listsLog, clock, log }),
      auditPage: trail.page,
      auditHead: machine.auditHead,
      auditVerify: trail.verify,
      node: createNodeService({
        lists: listsLog,
        machine,
        confirm: createSharedConfirm(() => listsLog.confirmLeased()),
        reports,
        clock,
        stopping: stopping.signal
      }),
      replicaMessage: async (group, message) => {
        const target = groups.get(group)
        if (target === undefined) throw new Error(`there is no log group "${group}" on this control VM; run the same version on all control VMs`)
        return await target.handle(message as ReplicationMessage)
      },
      vmReport,
      keys: createKeyCalls(keyGroup, keysLog)
    })
  })
  const closeAll = async () => {
    await Promise.all([...groups.values()].map((group) => group.close()))
    await archive.close()
    await Promise.all([...clients.values()].map((client) => client.close()))
  }
  if (server.isErr()) {
    await closeAll()
    return fail(server.error.message)
  }

  const sources = [{ vmId, page: trail.page }, ...[...clients].map(([id, { api }]) =>
    ({ vmId: id, page: (afterSeq: number, limit: number) => api.replica.auditPage.query({ afterSeq, limit }) }))]
  const backfill = runArchiveBackfill({ archive, headSeq: () => machine.auditHead().seq, sources, clock, log, signal: stopping.signal })
  const metricsLoop = runMetrics(vmReport, metrics, clock, stopping.signal)
  log.info({ vmId, address: authority, dataDir: control.dataDir }, 'Control process is up')
  return ok({
    stop: async () => {
      stopping.abort()
      await server.value.stop()
      await closeAll()
      await Promise.all([backfill, metricsLoop])
    }
  })
}
