import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { getJson, type Fleet, type FleetVm } from '../fleet/fleet.js'
import type { AcceptedEdit } from './editor.js'
import { percentile, round } from './statistics.js'

/** First time at which a node was observed at a revision or above, in ms of the wall clock. */
export type Observation = { node: string, revision: number, atMs: number }

/** Times from the acceptance of edits until they are in effect on nodes; `missing` counts pairs of edit and node without observation. */
export type TimeToEffect = { samples: number, missing: number, p50Seconds: number, p99Seconds: number, maxSeconds: number }

/** Running observation of all nodes; `polls` counts successful readings. */
export type RevisionWatch = { observations: Observation[], readonly reverted: number, readonly polls: number, stop: () => Promise<void> }

/** Fields of a node's state that this benchmark reads. */
export type NodeState = { revision: number, listsConfirmed: boolean }

/** Reads the state of a node; undefined when it does not respond or refuses. */
export async function readNodeState (vm: FleetVm): Promise<NodeState | undefined> {
  return await getJson<NodeState>(`${vm.url}/.well-known/orioleslip/state`).catch(() => undefined)
}

/** One observation for each revision after `from`, up to `to`: one response can contain several. */
export function toObservations (node: string, from: number, to: number, atMs: number): Observation[] {
  return Array.from({ length: Math.max(0, to - from) }, (_, i) => ({ node, revision: from + 1 + i, atMs }))
}

/** Polls the revision of each node until stopped; `reverted` counts readings below an earlier one. */
export function watchRevisions (vms: readonly FleetVm[], intervalMs: number): RevisionWatch {
  const observations: Observation[] = []
  let reverted = 0
  let polls = 0
  const stopping = new AbortController()
  const watch = async (vm: FleetVm) => {
    let highest = -1
    while (!stopping.signal.aborted) {
      const state = await readNodeState(vm)
      const atMs = Date.now()
      if (state !== undefined) {
        polls++
        if (state.revision < highest) reverted++
        if (highest >= 0) observations.push(...toObservations(vm.vm.vmId, highest, state.revision, atMs))
        highest = Math.max(highest, state.revision)
      }
      await new Promise((resolve) => setTimeout(resolve, intervalMs))
    }
  }
  const watches = vms.map(watch)
  return {
    observations,
    get reverted () { return reverted },
    get polls () { return polls },
    stop: async () => {
      stopping.abort()
      await Promise.all(watches)
    }
  }
}

/** Revision changes that the nodes logged since their start, and how many of them did not increase the revision. */
export function loggedRevisions (fleet: Fleet): { observations: Observation[], reverted: number } {
  const observations: Observation[] = []
  let reverted = 0
  for (const { vm: { vmId } } of fleet.vms) {
    let highest = -1
    for (const line of readFileSync(join(fleet.folder, `${vmId}.log`), 'utf8').split('\n')) {
      if (!line.includes('"lists in effect"')) continue
      const { time, revision } = JSON.parse(line) as { time: number, revision: number }
      if (revision <= highest) reverted++
      observations.push(...toObservations(vmId, highest < 0 ? revision - 1 : highest, revision, time))
      highest = Math.max(highest, revision)
    }
  }
  return { observations, reverted }
}

/** Statistics of the times from the acceptance of an edit to its observation at each node. */
export function timeToEffect (edits: readonly AcceptedEdit[], observations: readonly Observation[], nodes: number): TimeToEffect {
  const accepted = new Map(edits.map((edit) => [edit.revision, edit.acceptedMs]))
  const seconds = observations.flatMap(({ revision, atMs }) => {
    const acceptedMs = accepted.get(revision)
    return acceptedMs === undefined ? [] : [Math.max(0, atMs - acceptedMs) / 1000]
  })
  return {
    samples: seconds.length,
    missing: edits.length * nodes - seconds.length,
    p50Seconds: round(percentile(seconds, 50)),
    p99Seconds: round(percentile(seconds, 99)),
    maxSeconds: round(Math.max(...seconds))
  }
}
