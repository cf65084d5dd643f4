import { getJson, waitUntil, type Fleet } from '../fleet/fleet.js'
import type { FleetProcess } from '../fleet/child.js'

/** One restart; `sigtermMs` and `readyMs` are times since the start of the run, `drainMs` is a duration, all in ms. */
export type Restart = { vmId: string, sigtermMs: number, drainMs: number, readyMs: number, exit: number | NodeJS.Signals }

type Status = { confirmed: boolean, controls: Array<{ vmId: string, groups: Array<{ group: string, role: string, commitIndex: number }> }> }

/** Restarts every node, then every control VM, one at a time; each one has to be ready before the next is stopped. */
export async function restartAll (fleet: Fleet, restMs: number, nowMs: () => number, onRestart: (restart: Restart) => void): Promise<void> {
  const restart = async (vmId: string, process: FleetProcess, start: () => Promise<void>, ready: () => Promise<boolean>) => {
    const sigtermMs = nowMs()
    const exit = await process.stop('SIGTERM')
    const drainMs = nowMs() - sigtermMs
    await start()
    await waitUntil(`${vmId} is ready`, ready)
    onRestart({ vmId, sigtermMs: Math.round(sigtermMs), drainMs: Math.round(drainMs), readyMs: Math.round(nowMs()), exit })
    await new Promise((resolve) => setTimeout(resolve, restMs))
  }
  for (const vm of fleet.vms) await restart(vm.vm.vmId, vm.node, vm.restartNode, () => nodesReady(fleet))
  for (const control of fleet.controls) {
    await restart(control.vm.vmId, control.process, control.restart, () => controlReady(fleet, control.vm.vmId))
  }
}

/** Whether every node has confirmed lists, is not stopping and sees every target as ready. */
async function nodesReady (fleet: Fleet): Promise<boolean> {
  const healthy = await Promise.all(fleet.vms.map(async (vm) => {
    const state = await getJson<{ listsConfirmed: boolean, stopping: boolean }>(`${vm.url}/.well-known/orioleslip/state`)
    const ready = (await vm.members()).filter(({ liveness, record }) => liveness === 'alive' && record.target?.state === 'ready')
    return state.listsConfirmed && !state.stopping && ready.length === fleet.vms.length
  }))
  return healthy.every((nodeReady) => nodeReady)
}

/** Whether the control VM is a follower or leader in both groups and has caught up with the commit index of the others. */
async function controlReady (fleet: Fleet, vmId: string): Promise<boolean> {
  const { code, stdout } = await fleet.operator(['--json', 'status'])
  if (code !== 0) return false
  const status = JSON.parse(stdout) as Status
  const own = status.controls.find((control) => control.vmId === vmId)?.groups ?? []
  const caughtUp = own.every(({ group, commitIndex }) => {
    // Key records are written continuously, so a follower may lag behind by up to 20 entries.
    const others = status.controls.flatMap(({ groups }) => groups).filter((other) => other.group === group)
    return commitIndex >= Math.max(...others.map((other) => other.commitIndex)) - 20
  })
  return status.confirmed && own.length === 2 && caughtUp && own.every(({ role }) => role === 'leader' || role === 'follower')
}
