import { createRequestVerifier, createFakeClock, createSeededRandom, systemClock, type Clock, type Principal } from '@orioleslip/core'
import { pino } from 'pino'
import { createRefusedChangeLog } from '../api/refused-change-log.js'
import { createControlClient } from '../api/client.js'
import { createNodeReports } from '../api/node-reports.js'
import { createNodeService } from '../api/node-service.js'
import { createOperatorService } from '../api/operator-service.js'
import { createControlRouter, type ControlServices } from '../api/router.js'
import { startApiServer } from '../api/server.js'
import { createSharedConfirm } from '../api/shared-confirm.js'
import { createListsStateMachine } from '../lists/state-machine.js'
import { createFakeLog } from './fake-log.js'

export const FLEET_KEY = 'fleet-key-0123456789'
export const OPERATOR_KEY = 'operator-key-0123456789'

/** Creates the services of a control VM on a fake log. */
export function createServices (clock: Clock = createFakeClock()) {
  const log = pino({ level: 'silent' })
  const machine = createListsStateMachine()
  const lists = createFakeLog(machine)
  const stopping = new AbortController()
  const confirm = createSharedConfirm(() => lists.confirmCurrent())
  const reports = createNodeReports(clock)
  const node = createNodeService({
    lists,
    machine,
    confirm: createSharedConfirm(() => lists.confirmLeased()),
    reports,
    clock,
    stopping: stopping.signal
  })
  const operator = createOperatorService({ vmId: 'c1', lists, machine, confirm, clock, log })
  return { log, machine, lists, stopping, confirm, reports, node, operator, clock, random: createSeededRandom(1) }
}

/** Starts a control API on a free port with these services; services that no test calls throw. */
export async function startApi () {
  const parts = createServices(systemClock)
  const { log, machine, lists, node, operator, clock } = parts
  const unused = (): never => { throw new Error('this service is not part of the API fixture') }
  const services: ControlServices = {
    operator,
    node,
    status: unused,
    clusterInit: unused,
    auditHead: machine.auditHead,
    auditVerify: unused,
    vmReport: unused,
    replicaMessage: unused,
    auditPage: () => Promise.resolve([...machine.auditEntries()]),
    keys: (procedure, input) => Promise.resolve({ kind: 'done', value: { procedure, input } })
  }
  // The authority is fixed, so that the verifier can be created before the port is known.
  const authority = 'control-under-test:7000'
  const server = (await startApiServer({
    address: '127.0.0.1',
    port: 0,
    authority,
    verify: createRequestVerifier({ fleetKey: FLEET_KEY, operators: [{ name: 'ana', key: OPERATOR_KEY }], clock }),
    recordRefusedChange: createRefusedChangeLog({ vmId: 'c1', lists, clock, log }),
    router: createControlRouter(services),
    log
  }))._unsafeUnwrap()
  const connect = (principal: Principal, key: string) =>
    createControlClient({ authority: `127.0.0.1:${server.port}`, signedAuthority: authority, principal, key, clock })
  return { ...parts, server, authority, connect }
}
