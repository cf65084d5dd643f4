import { join } from 'node:path'
import { createRequestVerifier, systemClock, type Clock, type Settings } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { toAuthority } from '../api/address.js'
import { createNodeReports } from '../api/node-reports.js'
import { createNodeService } from '../api/node-service.js'
import { startApiServer } from '../api/server.js'
import { createSharedConfirm } from '../api/shared-confirm.js'
import type { ControlStartError } from '../control.js'
import { runMetrics, type Metrics } from '../metrics.js'
import type { ReplicationMessage } from '../replication/messages.js'
import { createReplicatedLog } from '../replication/replicated-log.js'
import { runBootstrap } from './bootstrap.js'
import { createPeerClients } from './peer-clients.js'
import { createRoutesRouter } from './router.js'
import { createRoutesService, type RoutesService } from './routes-service.js'
import { createRoutesStateMachine } from './state-machine.js'

/** A control process that keeps routes. It finds the other control VMs through the seeds in its settings. */
export type RoutesControl = {
  service: RoutesService
  /** Stops the process; open calls of nodes and other control VMs are answered for up to `apiTimeoutMs`, by default 4 s. */
  stop: (apiTimeoutMs?: number) => Promise<void>
}

/** Starts the replica of the routes log and its API and, at the first start of the fleet, forms the log group. */
export async function startRoutesControl (
  settings: Settings, deps: { log: Logger, metrics?: Metrics, clock?: Clock }
): Promise<Result<RoutesControl, ControlStartError>> {
  const { log, metrics, clock = systemClock } = deps
  const { vm, control, discovery, auth: { fleetKey } } = settings
  const fail = (message: string) => err<RoutesControl, ControlStartError>({ kind: 'controlStartFailed', message })
  if (control === undefined || discovery === undefined) return fail('the settings need a [control] and a [discovery] table; add them')
  const self = toAuthority(vm.address, control.apiPort)
  const seeds = discovery.seeds.map((seed) => toAuthority(seed.address, seed.apiPort))
  const voters = 2 * discovery.lostDisksTolerated + 1
  const stopping = new AbortController()
  const clients = createPeerClients({ fleetKey, clock })
  const machine = createRoutesStateMachine()
  const opened = await createReplicatedLog({
    group: 'routes',
    vmId: self,
    peers: (memberIds) => [...new Set([...seeds, ...memberIds])].map((authority) => ({ vmId: authority, address: authority })),
    membership: { kind: 'open', voters },
    dir: join(control.dataDir, 'routes'),
    machine,
    transport: clients.transport,
    clock,
    logger: log
  })
  if (opened.isErr()) return fail(opened.error.message)
  const routes = opened.value
  const reports = createNodeReports(clock)
  const revision = () => machine.document()?.revision ?? -1
  const server = await startApiServer({
    address: vm.address,
    port: control.apiPort,
    authority: self,
    verify: createRequestVerifier({ fleetKey, operators: [], clock }),
    recordRefusedChange: ({ reason }) => log.warn({ event: 'refused-call', reason }, 'refused a call to the control API'),
    log,
    router: createRoutesRouter({
      node: createNodeService({
        lists: routes,
        machine: { since: machine.since, revision },
        confirm: createSharedConfirm(() => routes.confirmLeased()),
        reports,
        clock,
        stopping: stopping.signal
      }),
      replicaMessage: (message) => routes.handle(message as ReplicationMessage)
    })
  })
  if (server.isErr()) {
    await Promise.all([routes.close(), clients.close()])
    return fail(server.error.message)
  }
  const bootstrap = discovery.firstStart
    ? runBootstrap({ log, clock, routes, self, seeds, signal: stopping.signal })
    : Promise.resolve()
  const report = () => ({ revision: revision(), groups: [routes.status()], nodes: reports.list() })
  const metricsLoop = runMetrics(report, metrics, clock, stopping.signal)
  log.info({ event: 'start', vmId: vm.id, address: self, dataDir: control.dataDir }, 'control process is up')
  return ok({
    service: createRoutesService({ routes, machine, confirm: createSharedConfirm(() => routes.confirmCurrent()), minVoters: voters, log }),
    stop: async (apiTimeoutMs) => {
      stopping.abort()
      await server.value.stop(apiTimeoutMs)
      await routes.close()
      await clients.close()
      await Promise.all([bootstrap, metricsLoop])
    }
  })
}
