import { getJson, waitUntil, type Fleet } from '../fleet/fleet.js'
import type { FleetProcess } from '../fleet/child.js'

/** One planned restart; times in ms since the start of the run. */
export type Restart = { vmId: string, sigtermMs: number, drainMs: number, readyMs: number, exit: number | NodeJS.Signals }

type Status = { confirmed: boolean, controls: Array<{ vmId: string, groups: Array<{ group: string, role: string, commitIndex: number }> }> }

/** Restarts every node, then every control VM, one after the other, each once the one before is ready again. */
export async function restartAll (fleet: Fleet, restMs: number, nowMs: () => number, ended: (restart: Restart) => void): Promise<void> {
  const restart = async (vmId: string, process: FleetProcess, start: () => Promise<void>, ready: () => Promise<boolean>) => {
    const sigtermMs = nowMs()
    const exit = await process.stop('SIGTERM')
    const drainMs = nowMs() - sigtermMs
    await start()
    await waitUntil(`${vmId} is ready`, ready)
    ended({ vmId, sigtermMs: Math.round(sigtermMs), drainMs: Math.round(drainMs), readyMs: Math.round(nowMs()), exit })
    await new Promise((resolve) => setTimeout(resolve, restMs))
  }
  for (const vm of fleet.vms) await restart(vm.vm.vmId, vm.node, vm.restartNode, () => nodesReady(fleet))
  for (const control of fleet.controls) {
    await restart(control.vm.vmId, control.process, control.restart, () => controlReady(fleet, control.vm.vmId))
  }
}

/** Every node serves and sees every target as ready. */
async function nodesReady (fleet: Fleet): Promise<boolean> {
  const views = await Promise.all(fleet.vms.map(async (vm) => {
    const state = await getJson<{ listsConfirmed: boolean, stopping: boolean }>(`${vm.url}/.well-known/orioleslip/state`)
    const ready = (await vm.members()).filter(({ liveness, record }) => liveness === 'alive' && record.target?.state === 'ready')
    return state.listsConfirmed && !state.stopping && ready.length === fleet.vms.length
  }))
  return views.every((whole) => whole)
}

/** The control VM follows or leads in both groups and has what the others have committed. */
async function controlReady (fleet: Fleet, vmId: string): Promise<boolean> {
  const { code, stdout } = await fleet.operator(['--json', 'status'])
  if (code !== 0) return false
  const status = JSON.parse(stdout) as Status
  const own = status.controls.find((control) => control.vmId === vmId)?.groups ?? []
  const caughtUp = own.every(({ group, commitIndex }) => {
    // Key records are written all the time, so a follower is allowed to be a few entries behind.
    const others = status.controls.flatMap(({ groups }) => groups).filter((other) => other.group === group)
    return commitIndex >= Math.max(...others.map((other) => other.commitIndex)) - 20
  })
  return status.confirmed && own.length === 2 && caughtUp && own.every(({ role }) => role === 'leader' || role === 'follower')
}
