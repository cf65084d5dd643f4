import { waitUntil, type Fleet, type FleetControl, type FleetVm } from '../fleet/fleet.js'
import type { Fault } from './cells.js'

type Status = { controls: Array<{ vmId: string, groups: Array<{ group: string, role: string }> }> }

const findVm = (fleet: Fleet, vmId: string): FleetVm => {
  const found = fleet.vms.find((vm) => vm.vm.vmId === vmId)
  if (found === undefined) throw new Error(`the fleet has no VM ${vmId}`)
  return found
}

/** Waits until the key register has a leader and returns its control VM. */
export async function findKeysLeader (fleet: Fleet): Promise<FleetControl> {
  let leader: FleetControl | undefined
  await waitUntil('the key register has a leader', async () => {
    const res = await fleet.operator(['--json', 'status'])
    const status = JSON.parse(res.stdout) as Status
    const vmId = status.controls.find((vm) => vm.groups.some((group) => group.group === 'keys' && group.role === 'leader'))?.vmId
    leader = fleet.controls.find((control) => control.vm.vmId === vmId)
    return leader !== undefined
  })
  return leader!
}

/** Injects a fault into the fleet and returns the function that heals it. `disconnect` closes the caller's connection. */
export async function injectFault (fleet: Fleet, fault: Fault, leader: FleetControl, disconnect: () => void): Promise<() => Promise<void>> {
  const entry = findVm(fleet, 'entry-1')
  const executor = findVm(fleet, 'desk-1')
  const freeze = (...processes: Array<{ signal: (signal: NodeJS.Signals) => void }>) => {
    for (const process of processes) process.signal('SIGSTOP')
    return async () => { for (const process of processes) process.signal('SIGCONT') }
  }
  switch (fault) {
    case 'none': return async () => {}
    case 'caller-gone':
      disconnect()
      return async () => {}
    case 'entry-killed':
      entry.node.signal('SIGKILL')
      return entry.restartNode
    case 'entry-frozen': return freeze(entry.node)
    case 'executor-killed':
      executor.node.signal('SIGKILL')
      return executor.restartNode
    case 'executor-frozen': return freeze(executor.node)
    case 'executor-stopped':
      executor.node.signal('SIGTERM')
      return executor.restartNode
    case 'executor-stopped-twice':
      executor.node.signal('SIGTERM')
      await new Promise((resolve) => setTimeout(resolve, 50))
      executor.node.signal('SIGTERM')
      return executor.restartNode
    case 'target-killed':
      executor.target?.signal('SIGKILL')
      return executor.restartTarget
    case 'target-frozen': return executor.target === undefined ? async () => {} : freeze(executor.target)
    case 'target-leaving':
      await executor.configureTarget({ state: 'leaving' })
      return () => executor.configureTarget({ state: 'ready' })
    case 'leader-killed':
      leader.process.signal('SIGKILL')
      return leader.restart
    case 'leader-frozen': return freeze(leader.process)
    case 'quorum-frozen': return freeze(leader.process, fleet.controls.find((control) => control !== leader)!.process)
  }
}
