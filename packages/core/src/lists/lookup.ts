import type { ListsDocument, Operation, Plan } from './schema.js'
import { operationKey } from './schema.js'

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

/** Result of looking up a call in the lists. */
export type Lookup =
  | { kind: 'listed', planName: string, plan: Plan, op: Operation, opKey: string }
  /** Not in the plan, but the method is safe: browse importance, no retries, no inter-region transfer. */
  | { kind: 'unlistedSafe', planName: string, plan: Plan, opKey: string }
  | { kind: 'unlistedUnsafe', planName: string }
  | { kind: 'customerUnknown' }

/** Compiled lists of one revision; lookups create no regular expressions. */
export type ListsIndex = {
  revision: number
  lookup: (customer: string, service: string, method: string, path: string) => Lookup
}

type CompiledOperation = { op: Operation, opKey: string, segments: string[], wildcard: boolean }
type CompiledPlan = { name: string, plan: Plan, byServiceAndMethod: Map<string, CompiledOperation[]> }

function compilePlan (name: string, plan: Plan): CompiledPlan {
  const byServiceAndMethod = new Map<string, CompiledOperation[]>()
  for (const op of plan.operations) {
    const wildcard = op.path.endsWith('*')
    const segments = (wildcard ? op.path.slice(0, -1) : op.path).split('/').filter((s) => s !== '')
    const key = `${op.service} ${op.method}`
    const ops = byServiceAndMethod.get(key) ?? []
    ops.push({ op, opKey: operationKey(op), segments, wildcard })
    byServiceAndMethod.set(key, ops)
  }
  // The most specific pattern wins: literal segments before parameters, exact paths before wildcards.
  for (const ops of byServiceAndMethod.values()) ops.sort((a, b) => specificity(b) - specificity(a))
  return { name, plan, byServiceAndMethod }
}

function specificity (entry: CompiledOperation): number {
  const literals = entry.segments.filter((s) => !s.startsWith(':')).length
  return literals * 100 + entry.segments.length * 2 + (entry.wildcard ? 0 : 1)
}

function matches (entry: CompiledOperation, segments: string[]): boolean {
  if (entry.wildcard ? segments.length < entry.segments.length : segments.length !== entry.segments.length) return false
  return entry.segments.every((pattern, i) => pattern.startsWith(':') || pattern === segments[i])
}

/** Compiles a document for lookups on the call path. */
export function createListsIndex (doc: ListsDocument): ListsIndex {
  const plans = new Map(Object.entries(doc.lists.plans).map(([name, plan]) => [name, compilePlan(name, plan)]))
  const customers = new Map(Object.entries(doc.lists.customers))
  return {
    revision: doc.revision,
    lookup: (customer, service, method, path) => {
      const planName = customers.get(customer)
      const compiled = planName === undefined ? undefined : plans.get(planName)
      if (compiled === undefined) return { kind: 'customerUnknown' }
      const segments = path.split('/').filter((s) => s !== '')
      const entry = compiled.byServiceAndMethod.get(`${service} ${method}`)?.find((candidate) => matches(candidate, segments))
      if (entry !== undefined) return { kind: 'listed', planName: compiled.name, plan: compiled.plan, op: entry.op, opKey: entry.opKey }
      if (!SAFE_METHODS.has(method)) return { kind: 'unlistedUnsafe', planName: compiled.name }
      return { kind: 'unlistedSafe', planName: compiled.name, plan: compiled.plan, opKey: `${method} ${service} unlisted` }
    }
  }
}
