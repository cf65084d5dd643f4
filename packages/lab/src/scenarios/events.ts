import type { Fleet, FleetVm } from '../fleet/fleet.js'
import type { ScenarioEvent } from './schema.js'

/** An event that was applied at `atMs` after the start of the run; `problem` is set when it failed. */
export type EventRecord = { atMs: number, event: ScenarioEvent, problem?: string }

const wait = (s: number) => new Promise<void>((resolve) => setTimeout(resolve, s * 1000))

/** Schedules events at their times. The returned function waits for those that have started and cancels the others. */
export function startEvents (fleet: Fleet, events: ScenarioEvent[], coldStartMs: number): () => Promise<EventRecord[]> {
  const startMs = performance.now()
  const records: EventRecord[] = []
  const running: Array<Promise<void>> = []
  const timers = events.map((event) => setTimeout(() => {
    const record: EventRecord = { atMs: Math.round(performance.now() - startMs), event }
    records.push(record)
    running.push(applyEvent(fleet, event, coldStartMs).catch((err: unknown) => { record.problem = String(err) }))
  }, event.atS * 1000))
  return async () => {
    timers.forEach(clearTimeout)
    await Promise.all(running)
    return records
  }
}

async function applyEvent (fleet: Fleet, event: ScenarioEvent, coldStartMs: number): Promise<void> {
  switch (event.kind) {
    case 'slow':
    case 'heal': {
      const workFactor = event.kind === 'slow' ? event.factor : 1
      await Promise.all(fleet.vmsOfService(event.service).map((vm) => vm.configureTarget({ workFactor })))
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
      const frozenProcess = event.process === 'node' ? vm.node : vm.target
      frozenProcess?.signal('SIGSTOP')
      await wait(event.forS)
      frozenProcess?.signal('SIGCONT')
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
  const vm = fleet.vmsOfService(service)[server - 1]
  if (vm === undefined) throw new Error(`"${service}" has no server ${server}`)
  return vm
}
