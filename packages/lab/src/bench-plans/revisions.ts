import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Agent, request } from 'undici'
import type { Fleet, FleetVm } from '../fleet/fleet.js'
import type { AcceptedEdit } from './editor.js'
import { percentile, round } from './figures.js'

/** When one node was first seen at a revision, in ms of the wall clock. */
export type Sighting = { node: string, revision: number, atMs: number }

export type InForce = { samples: number, missing: number, p50Seconds: number, p99Seconds: number, maxSeconds: number }

export type RevisionWatch = { sightings: Sighting[], readonly reverted: number, readonly polls: number, stop: () => Promise<void> }

export type NodeState = { revision: number, listsConfirmed: boolean }

const agent = new Agent({ connections: 1 })

/** State of a node; undefined when it does not answer. */
export async function nodeState (vm: FleetVm): Promise<NodeState | undefined> {
  try {
    const res = await request(`${vm.url}/.well-known/orioleslip/state`, { dispatcher: agent, headersTimeout: 2000 })
    return await res.body.json() as NodeState
  } catch {
    return undefined
  }
}

/** One sighting for each revision after `from`, up to `to`: several can come in one answer. */
export function newRevisions (node: string, from: number, to: number, atMs: number): Sighting[] {
  return Array.from({ length: Math.max(0, to - from) }, (_, i) => ({ node, revision: from + 1 + i, atMs }))
}

/** Reads the revision of each node all the time; `reverted` counts readings below an earlier one. */
export function watchRevisions (vms: readonly FleetVm[], intervalMs: number): RevisionWatch {
  const sightings: Sighting[] = []
  let reverted = 0
  let polls = 0
  const stopping = new AbortController()
  const watch = async (vm: FleetVm) => {
    let highest = -1
    while (!stopping.signal.aborted) {
      const state = await nodeState(vm)
      const atMs = Date.now()
      if (state !== undefined) {
        polls++
        if (state.revision < highest) reverted++
        if (highest >= 0) sightings.push(...newRevisions(vm.vm.vmId, highest, state.revision, atMs))
        highest = Math.max(highest, state.revision)
      }
      await new Promise((resolve) => setTimeout(resolve, intervalMs))
    }
  }
  const watches = vms.map(watch)
  return {
    sightings,
    get reverted () { return reverted },
    get polls () { return polls },
    stop: async () => {
      stopping.abort()
      await Promise.all(watches)
    }
  }
}

/** Changes of revision that the nodes logged since their start, and how many of them went back. */
export function loggedRevisions (fleet: Fleet): { sightings: Sighting[], reverted: number } {
  const sightings: Sighting[] = []
  let reverted = 0
  for (const { vm: { vmId } } of fleet.vms) {
    let highest = -1
    for (const line of readFileSync(join(fleet.folder, `${vmId}.log`), 'utf8').split('\n')) {
      if (!line.includes('"lists in effect"')) continue
      const { time, revision } = JSON.parse(line) as { time: number, revision: number }
      if (revision <= highest) reverted++
      sightings.push(...newRevisions(vmId, highest < 0 ? revision - 1 : highest, revision, time))
      highest = Math.max(highest, revision)
    }
  }
  return { sightings, reverted }
}

/** Times from acceptance to the sighting at each node. */
export function inForce (edits: readonly AcceptedEdit[], sightings: readonly Sighting[], nodes: number): InForce {
  const accepted = new Map(edits.map((edit) => [edit.revision, edit.acceptedMs]))
  const seconds = sightings.flatMap(({ revision, atMs }) => {
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
