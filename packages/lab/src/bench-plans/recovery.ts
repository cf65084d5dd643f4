import { waitUntil, type Fleet, type FleetControl } from '../fleet/fleet.js'
import type { Editor } from './editor.js'
import { round } from './statistics.js'
import { readNodeState } from './revisions.js'

/** Times in s from a failure until an edit is accepted again; after a kill of all processes, until every node has confirmed its lists. */
export type Recovery = {
  leaderKillSeconds: number
  quorumRestartSeconds: number
  allRestartSeconds: number
  /** Nodes whose revision after the restart of all processes was below the latest accepted one. */
  lostRevisions: number
}

const RESTART_LIMIT_MS = 120_000

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

async function killControls (controls: readonly FleetControl[]): Promise<void> {
  await Promise.all(controls.map((control) => control.process.stop('SIGKILL')))
}

/** Measures the recovery from kills of the leader, a quorum and all processes, one after the other; throws when a node doesn't recover. */
export async function measureRecovery (fleet: Fleet, editor: Editor): Promise<Recovery> {
  const leader = await listsLeader(fleet, editor)
  let startMs = performance.now()
  leader.process.signal('SIGKILL')
  await editor.edit()
  const leaderKillSeconds = secondsSince(startMs)
  await leader.restart()

  const nextLeader = await listsLeader(fleet, editor)
  const quorum = [nextLeader, fleet.controls.find((control) => control !== nextLeader)!]
  await killControls(quorum)
  startMs = performance.now()
  await Promise.all(quorum.map((control) => control.restart()))
  await editor.edit()
  const quorumRestartSeconds = secondsSince(startMs)

  await listsLeader(fleet, editor)
  const { revision } = await editor.edit()
  await Promise.all([killControls(fleet.controls), ...fleet.vms.map((vm) => vm.node.stop('SIGKILL'))])
  startMs = performance.now()
  await Promise.all([...fleet.controls.map((control) => control.restart()), ...fleet.vms.map((vm) => vm.restartNode())])
  let lostRevisions = 0
  const endMs = startMs + RESTART_LIMIT_MS
  await Promise.all(fleet.vms.map(async (vm) => {
    for (;;) {
      const state = await readNodeState(vm)
      if (state?.listsConfirmed === true) {
        if (state.revision < revision) lostRevisions++
        return
      }
      if (performance.now() > endMs) throw new Error(`${vm.vm.vmId} did not confirm its lists within ${RESTART_LIMIT_MS} ms after the restart`)
      await new Promise((resolve) => setTimeout(resolve, 100))
    }
  }))
  return { leaderKillSeconds, quorumRestartSeconds, allRestartSeconds: secondsSince(startMs), lostRevisions }
}
