/** Faults that are injected into the fleet. */
export const FAULTS = [
  'none', 'entry-killed', 'entry-frozen', 'executor-killed', 'executor-frozen', 'executor-stopped', 'executor-stopped-twice',
  'target-killed', 'target-frozen', 'target-leaving', 'leader-killed', 'leader-frozen', 'quorum-frozen', 'caller-gone'
] as const
export type Fault = typeof FAULTS[number]

/** Step of the call at which the fault is injected. */
export const STEPS = ['before-call', 'half-request-body', 'target-working', 'half-answer'] as const
export type Step = typeof STEPS[number]

/** Operations that are called. */
export const OPERATIONS = ['claim', 'read', 'upload'] as const
export type OperationKind = typeof OPERATIONS[number]

/** One combination of the matrix. */
export type Cell = { id: string, fault: Fault, step: Step, operation: OperationKind }

/** Every fault at every step of every operation, without the combinations that can't occur. */
export function allCells (): Cell[] {
  const cells: Cell[] = []
  for (const operation of OPERATIONS) {
    for (const step of STEPS) {
      for (const fault of FAULTS) {
        if (isPossible(fault, step, operation)) cells.push({ id: `${operation}/${step}/${fault}`, fault, step, operation })
      }
    }
  }
  return cells
}

function isPossible (fault: Fault, step: Step, operation: OperationKind): boolean {
  if (step === 'half-request-body' && operation === 'read') return false
  return !(step === 'before-call' && fault === 'caller-gone')
}
