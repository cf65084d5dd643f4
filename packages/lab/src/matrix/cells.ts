/** What breaks. */
export const FAULTS = [
  'none', 'entry-killed', 'entry-frozen', 'executor-killed', 'executor-frozen', 'executor-stopped', 'executor-stopped-twice',
  'target-killed', 'target-frozen', 'target-leaving', 'leader-killed', 'leader-frozen', 'quorum-frozen', 'caller-gone'
] as const
export type Fault = typeof FAULTS[number]

/** When it breaks, seen from the call. */
export const STEPS = ['before-call', 'half-request-body', 'target-working', 'half-answer'] as const
export type Step = typeof STEPS[number]

/** What is called. */
export const OPERATIONS = ['claim', 'read', 'upload'] as const
export type OperationKind = typeof OPERATIONS[number]

export type Cell = { id: string, fault: Fault, step: Step, operation: OperationKind }

/** Every fault at every step of every operation, less the combinations that can't occur. */
export function allCells (): Cell[] {
  const cells: Cell[] = []
  for (const operation of OPERATIONS) {
    for (const step of STEPS) {
      for (const fault of FAULTS) {
        if (possible(fault, step, operation)) cells.push({ id: `${operation}/${step}/${fault}`, fault, step, operation })
      }
    }
  }
  return cells
}

function possible (fault: Fault, step: Step, operation: OperationKind): boolean {
  if (step === 'half-request-body' && operation === 'read') return false
  return !(step === 'before-call' && fault === 'caller-gone')
}
