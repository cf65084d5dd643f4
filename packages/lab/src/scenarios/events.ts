import type { Fleet, FleetVm } from '../fleet/fleet.js'
import type { ScenarioEvent } from './schema.js'

/** An event that was carried out, in ms since the start of the run; `problem` is set when it failed. */
export type EventNote = { atMs: number, event: ScenarioEvent, problem?: string }

const wait = (s: number) => new Promise<void>((resolve) => setTimeout(resolve, s * 1000))

/** Carries out events at their times. The returned function waits for the end of those that have started and drops the others. */
export function startEvents (fleet: Fleet, events: ScenarioEvent[], coldStartMs: number): () => Promise<EventNote[]> {
  const startMs = performance.now()
  const notes: EventNote[] = []
  const running: Array<Promise<void>> = []
  const timers = events.map((event) => setTimeout(() => {
    const note: EventNote = { atMs: Math.round(performance.now() - startMs), event }
    notes.push(note)
    running.push(carryOut(fleet, event, coldStartMs).catch((err: unknown) => { note.problem = String(err) }))
  }, event.atS * 1000))
  return async () => {
    timers.forEach(clearTimeout)
    await Promise.all(running)
    return notes
  }
}

async function carryOut (fleet: Fleet, event: ScenarioEvent, coldStartMs: number): Promise<void> {
  switch (event.kind) {
    case 'slow':
    case 'heal': {
      const workFactor = event.kind === 'slow' ? event.factor : 1
      await Promise.all(fleet.ofService(event.service).map((vm) => vm.control({ workFactor })))
      return
    }
    case 'killNode': {
      const vm = serverOf(fleet, event)
      await vm.node.stop('SIGKILL')
      if (event.restartAfterS === undefined) return
      await wait(event.restartAfterS)
      return vm.restartNode()
    }
    case 'killTarget': {
      const vm = serverOf(fleet, event)
      await vm.target?.stop('SIGKILL')
      if (event.restartAfterS === undefined) return
      await wait(event.restartAfterS)
      return vm.restartTarget()
    }
    case 'freeze': {
      const vm = serverOf(fleet, event)
      const frozen = event.process === 'node' ? vm.node : vm.target
      frozen?.signal('SIGSTOP')
      await wait(event.forS)
      frozen?.signal('SIGCONT')
      return
    }
    case 'controlStop': {
      const control = fleet.controls[event.control - 1]!
      await control.process.stop('SIGKILL')
      if (event.restartAfterS === undefined) return
      await wait(event.restartAfterS)
      return control.restart()
    }
    case 'coldStart': {
      const vm = serverOf(fleet, event)
      if (vm.spec.target === undefined) return
      vm.spec.target.coldStartMs = coldStartMs
      return vm.restartTarget()
    }
  }
}

function serverOf (fleet: Fleet, { service, server }: { service: string, server: number }): FleetVm {
  const vm = fleet.ofService(service)[server - 1]
  if (vm === undefined) throw new Error(`"${service}" has no server ${server}`)
  return vm
}
