import { readFileSync } from 'node:fs'
import { getJson, waitUntil, type Fleet } from '../fleet/fleet.js'
import { startCall, type PendingCall, type Told } from './call.js'
import type { Cell } from './cells.js'
import { ANSWER_PAUSE_MS, WORK_MS } from './fleet-spec.js'
import { inject, keysLeader } from './inject.js'

/** What happened in a cell, and what was wrong with it. */
export type CellResult = { cell: Cell, first: Told, resent: Told, runsBefore: number, runsAfter: number, problems: string[] }

/** Time for which a fault lasts: longer than the silence limit of peer links and the expiry of announcements. */
const FAULT_MS = 4500
/** Time in which a frozen process that wakes could still start a call that was refused as not run. */
const SETTLE_MS = 1500

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Runs one call with a fault, heals the fault, resends the call through the other entry, and compares with the run log. */
export async function runCell (fleet: Fleet, cell: Cell, runLog: string, key: string): Promise<CellResult> {
  await waitUntil('the fleet is whole', () => isWhole(fleet))
  const leader = await keysLeader(fleet)
  const url = fleet.vms.find((vm) => vm.vm.vmId === 'entry-1')!.url
  const otherUrl = fleet.vms.find((vm) => vm.vm.vmId === 'entry-2')!.url
  const runs = () => readFileSync(runLog, 'utf8').split('\n').filter((line) => line === key).length

  const state: { pending?: PendingCall, heal?: () => Promise<void> } = {}
  const goAway = () => state.pending?.goAway()
  const strike = async () => { state.heal = await inject(fleet, cell.fault, leader, goAway) }
  if (cell.step === 'before-call') await strike()
  let answered: () => void = () => {}
  const answerBegan = new Promise<void>((resolve) => { answered = resolve })
  state.pending = startCall({
    url, operation: cell.operation, key, atAnswer: answered, ...(cell.step === 'half-request-body' ? { atHalfBody: strike } : {})
  })
  if (cell.step === 'target-working') await sleep(WORK_MS / 2).then(strike)
  if (cell.step === 'half-answer') await halfAnswer(cell, answerBegan, state.pending).then(strike)
  const healing = sleep(FAULT_MS).then(() => state.heal?.())
  const first = await state.pending.told
  await healing
  await sleep(SETTLE_MS)
  const runsBefore = runs()
  await waitUntil('the fleet is whole again', () => isWhole(fleet))
  const resent = await startCall({ url: otherUrl, operation: cell.operation, key }).told
  const result = { cell, first, resent, runsBefore, runsAfter: runs() }
  return { ...result, problems: problemsOf(result) }
}

/** The answer of a claim is held back until it is recorded, so its middle is found by time. */
async function halfAnswer (cell: Cell, answerBegan: Promise<void>, pending: PendingCall): Promise<void> {
  if (cell.operation === 'claim') await sleep(WORK_MS + ANSWER_PAUSE_MS / 2)
  else await Promise.race([answerBegan, pending.told])
}

/** All processes run, every node is confirmed and sees both targets as ready. */
async function isWhole (fleet: Fleet): Promise<boolean> {
  const views = await Promise.all(fleet.vms.map(async (vm) => {
    const state = await getJson<{ listsConfirmed: boolean, stopping: boolean }>(`${vm.url}/.well-known/orioleslip/state`)
    const members = await vm.members()
    const ready = members.filter((member) => member.liveness === 'alive' && member.record.target?.state === 'ready')
    return state.listsConfirmed && !state.stopping && ready.length === 2
  }))
  const status = await fleet.operator(['--json', 'status'])
  const confirmed = (JSON.parse(status.stdout) as { confirmed: boolean }).confirmed
  return confirmed && views.every((whole) => whole)
}

function problemsOf ({ cell, first, resent, runsBefore, runsAfter }: Omit<CellResult, 'problems'>): string[] {
  const problems: string[] = []
  if (cell.operation === 'claim' && runsAfter > 1) problems.push(`the claim ran ${runsAfter} times`)
  for (const told of [first, resent]) if (told.kind === 'complete' && !told.whole) problems.push('an answer belongs to another request or is not whole')
  if (first.kind === 'refused' && first.outcome === 'not-run' && runsBefore > 0) problems.push(`refused as not run, but it ran (${first.code})`)
  if (first.kind === 'complete' && runsBefore === 0) problems.push('answered as complete, but it never ran')
  if (cell.operation === 'claim' && first.kind === 'complete' && resent.kind !== 'complete') problems.push('the resend of a finished claim got no answer')
  if (resent.kind === 'broken') problems.push(`the resend on a whole fleet broke: ${resent.message}`)
  if (cell.operation !== 'claim' && resent.kind !== 'complete') problems.push('a repeatable call failed on a whole fleet')
  // After an unknown outcome the key may stay without a result for good; after a true refusal it must be usable.
  const usable = first.kind === 'refused' && first.outcome === 'not-run'
  if (cell.operation === 'claim' && usable && resent.kind !== 'complete') problems.push('the resend of a claim that was not run got no answer')
  if (cell.fault === 'none' && first.kind !== 'complete') problems.push('a call without a fault failed')
  const planned = cell.fault === 'executor-stopped' || cell.fault === 'target-leaving'
  if (planned && cell.step !== 'before-call' && first.kind !== 'complete') problems.push('a planned stop interrupted a call in flight')
  return problems
}
