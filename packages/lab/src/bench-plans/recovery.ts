import { waitUntil, type Fleet, type FleetControl } from '../fleet/fleet.js'
import type { Editor } from './editor.js'
import { round } from './figures.js'
import { nodeState } from './revisions.js'

/** Times in s until an edit is accepted again, and after the loss of everything until the lists are in effect again. */
export type Recovery = {
  leaderKillSeconds: number
  quorumRestartSeconds: number
  allRestartSeconds: number
  /** Nodes whose revision after the restart of everything was below the latest accepted one. */
  lostRevisions: number
}

const ALL_LIMIT_MS = 120_000

const secondsSince = (startMs: number) => round((performance.now() - startMs) / 1000)

async function listsLeader (fleet: Fleet, editor: Editor): Promise<FleetControl> {
  let leader: FleetControl | undefined
  await waitUntil('the lists group has a leader and three reachable replicas', async () => {
    const status = await editor.status()
    const vmId = status?.controls.find((vm) => vm.reachable && vm.groups.some(({ group, role }) => group === 'lists' && role === 'leader'))?.vmId
    leader = fleet.controls.find(({ vm }) => vm.vmId === vmId)
    return leader !== undefined && status?.controls.every((vm) => vm.reachable) === true
  })
  return leader!
}

async function kill (controls: readonly FleetControl[]): Promise<void> {
  await Promise.all(controls.map((control) => control.process.stop('SIGKILL')))
}

/** Kills the leader, a quorum, and everything, one after the other. */
export async function measureRecovery (fleet: Fleet, editor: Editor): Promise<Recovery> {
  const leader = await listsLeader(fleet, editor)
  let startMs = performance.now()
  leader.process.signal('SIGKILL')
  await editor.edit()
  const leaderKillSeconds = secondsSince(startMs)
  await leader.restart()

  const next = await listsLeader(fleet, editor)
  const quorum = [next, fleet.controls.find((control) => control !== next)!]
  await kill(quorum)
  startMs = performance.now()
  await Promise.all(quorum.map((control) => control.restart()))
  await editor.edit()
  const quorumRestartSeconds = secondsSince(startMs)

  await listsLeader(fleet, editor)
  const { revision } = await editor.edit()
  await Promise.all([kill(fleet.controls), ...fleet.vms.map((vm) => vm.node.stop('SIGKILL'))])
  startMs = performance.now()
  await Promise.all([...fleet.controls.map((control) => control.restart()), ...fleet.vms.map((vm) => vm.restartNode())])
  let lostRevisions = 0
  const endMs = startMs + ALL_LIMIT_MS
  await Promise.all(fleet.vms.map(async (vm) => {
    for (;;) {
      const state = await nodeState(vm)
      if (state?.listsConfirmed === true) {
        if (state.revision < revision) lostRevisions++
        return
      }
      if (performance.now() > endMs) throw new Error(`${vm.vm.vmId} did not confirm its lists within ${ALL_LIMIT_MS} ms after the restart`)
      await new Promise((resolve) => setTimeout(resolve, 100))
    }
  }))
  return { leaderKillSeconds, quorumRestartSeconds, allRestartSeconds: secondsSince(startMs), lostRevisions }
}
