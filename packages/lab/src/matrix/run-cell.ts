import { readFileSync } from 'node:fs'
import { getJson, waitUntil, type Fleet } from '../fleet/fleet.js'
import { startCall, type PendingCall, type CallOutcome } from './call.js'
import type { Cell } from './cells.js'
import { RESPONSE_PAUSE_MS, WORK_MS } from './fleet-spec.js'
import { injectFault, findKeysLeader } from './inject.js'

/** Outcomes and number of runs of a cell's call before and after its resend, and the violations found. */
export type CellResult = { cell: Cell, first: CallOutcome, resent: CallOutcome, runsBefore: number, runsAfter: number, problems: string[] }

/** Duration of a fault: longer than the silence timeout of peer links and the expiry of announcements. */
const FAULT_MS = 4500
/** Time in which a frozen process that resumes could still start a call that was refused as not run. */
const SETTLE_MS = 1500

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Runs one call with a fault, heals the fault, resends the call through the other entry node and compares with the run log. */
export async function runCell (fleet: Fleet, cell: Cell, runLog: string, key: string): Promise<CellResult> {
  await waitUntil('the fleet is healthy', () => isHealthy(fleet))
  const leader = await findKeysLeader(fleet)
  const url = fleet.vms.find((vm) => vm.vm.vmId === 'entry-1')!.url
  const otherUrl = fleet.vms.find((vm) => vm.vm.vmId === 'entry-2')!.url
  const countRuns = () => readFileSync(runLog, 'utf8').split('\n').filter((line) => line === key).length

  const state: { pending?: PendingCall, heal?: () => Promise<void> } = {}
  const disconnect = () => state.pending?.disconnect()
  const injectCellFault = async () => { state.heal = await injectFault(fleet, cell.fault, leader, disconnect) }
  if (cell.step === 'before-call') await injectCellFault()
  let resolveResponseBegan: () => void = () => {}
  const responseBegan = new Promise<void>((resolve) => { resolveResponseBegan = resolve })
  state.pending = startCall({
    url, operation: cell.operation, key, onResponse: resolveResponseBegan, ...(cell.step === 'half-request-body' ? { onHalfBody: injectCellFault } : {})
  })
  if (cell.step === 'target-working') await sleep(WORK_MS / 2).then(injectCellFault)
  if (cell.step === 'half-answer') await waitForHalfResponse(cell, responseBegan, state.pending).then(injectCellFault)
  const healing = sleep(FAULT_MS).then(() => state.heal?.())
  const first = await state.pending.callOutcome
  await healing
  await sleep(SETTLE_MS)
  const runsBefore = countRuns()
  await waitUntil('the fleet is healthy again', () => isHealthy(fleet))
  const resent = await startCall({ url: otherUrl, operation: cell.operation, key }).callOutcome
  const result = { cell, first, resent, runsBefore, runsAfter: countRuns() }
  return { ...result, problems: findProblems(result) }
}

/** The response of a claim is held back until it is recorded, so its middle is determined by time. */
async function waitForHalfResponse (cell: Cell, responseBegan: Promise<void>, pending: PendingCall): Promise<void> {
  if (cell.operation === 'claim') await sleep(WORK_MS + RESPONSE_PAUSE_MS / 2)
  else await Promise.race([responseBegan, pending.callOutcome])
}

/** Whether all processes run, every node has confirmed lists and every node sees both targets as ready. */
async function isHealthy (fleet: Fleet): Promise<boolean> {
  const healthy = await Promise.all(fleet.vms.map(async (vm) => {
    const state = await getJson<{ listsConfirmed: boolean, stopping: boolean }>(`${vm.url}/.well-known/orioleslip/state`)
    const members = await vm.members()
    const ready = members.filter((member) => member.liveness === 'alive' && member.record.target?.state === 'ready')
    return state.listsConfirmed && !state.stopping && ready.length === 2
  }))
  const status = await fleet.operator(['--json', 'status'])
  const confirmed = (JSON.parse(status.stdout) as { confirmed: boolean }).confirmed
  return confirmed && healthy.every((nodeHealthy) => nodeHealthy)
}

function findProblems ({ cell, first, resent, runsBefore, runsAfter }: Omit<CellResult, 'problems'>): string[] {
  const problems: string[] = []
  if (cell.operation === 'claim' && runsAfter > 1) problems.push(`the claim ran ${runsAfter} times`)
  for (const callOutcome of [first, resent]) if (callOutcome.kind === 'complete' && !callOutcome.whole) problems.push('a response is incomplete or belongs to another request')
  if (first.kind === 'refused' && first.outcome === 'not-run' && runsBefore > 0) problems.push(`refused as not run, but it ran (${first.code})`)
  if (first.kind === 'complete' && runsBefore === 0) problems.push('reported as complete, but it never ran')
  if (cell.operation === 'claim' && first.kind === 'complete' && resent.kind !== 'complete') problems.push('the resend of a finished claim received no complete response')
  if (resent.kind === 'broken') problems.push(`the connection of the resend broke on a healthy fleet: ${resent.message}`)
  if (cell.operation !== 'claim' && resent.kind !== 'complete') problems.push('the resend of a repeatable call failed on a healthy fleet')
  // After an unknown outcome the key may stay without a result until it expires; after a `not-run` refusal a resend must run.
  const keyReusable = first.kind === 'refused' && first.outcome === 'not-run'
  if (cell.operation === 'claim' && keyReusable && resent.kind !== 'complete') problems.push('the resend of a claim that was not run received no complete response')
  if (cell.fault === 'none' && first.kind !== 'complete') problems.push('a call without a fault failed')
  const plannedStop = cell.fault === 'executor-stopped' || cell.fault === 'target-leaving'
  if (plannedStop && cell.step !== 'before-call' && first.kind !== 'complete') problems.push('a planned stop interrupted a call in flight')
  return problems
}
