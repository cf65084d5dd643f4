import { canonicalJson, operationKey, type ListChange, type Operation, type Plan } from '@orioleslip/core'

function formatOperation (op: Operation): string {
  const { importance, repeatable, timeoutMs, interRegionBytesPerSecond } = op
  return `${operationKey(op)} (${importance}, ${repeatable ? 'repeatable' : 'not repeatable'}, ${timeoutMs} ms, ${interRegionBytesPerSecond} B/s between regions)`
}

function formatPlanChange (name: string, from: Plan, to: Plan): string[] {
  const lines = [`~ plan ${name}`]
  if (from.ratePerSecond !== to.ratePerSecond) lines.push(`    ratePerSecond ${from.ratePerSecond} -> ${to.ratePerSecond}`)
  if (from.burst !== to.burst) lines.push(`    burst ${from.burst} -> ${to.burst}`)
  const oldOperations = new Map(from.operations.map((op) => [operationKey(op), op]))
  for (const op of to.operations) {
    const before = oldOperations.get(operationKey(op))
    oldOperations.delete(operationKey(op))
    if (before === undefined) lines.push(`    + ${formatOperation(op)}`)
    else if (canonicalJson(before) !== canonicalJson(op)) lines.push(`    - ${formatOperation(before)}`, `    + ${formatOperation(op)}`)
  }
  for (const op of oldOperations.values()) lines.push(`    - ${formatOperation(op)}`)
  if (lines.length === 1) lines.push('    order of the operations')
  return lines
}

function formatChange (change: ListChange): string[] {
  const { list, name, from, to } = change
  if (list === 'customers') {
    if (from === undefined) return [`+ customer ${name}: ${to ?? ''}`]
    return to === undefined ? [`- customer ${name}: ${from}`] : [`~ customer ${name}: ${from} -> ${to}`]
  }
  if (from !== undefined && to !== undefined) return formatPlanChange(name, from, to)
  const plan = to ?? from
  const sign = from === undefined ? '+' : '-'
  return [`${sign} plan ${name}: ${plan?.ratePerSecond ?? 0} per second, burst ${plan?.burst ?? 0}, ${plan?.operations.length ?? 0} operations`]
}

/** Lines that describe the changes of an edit, `+` added, `-` removed, `~` changed. */
export function formatChanges (changes: readonly ListChange[]): string[] {
  return changes.flatMap(formatChange)
}
