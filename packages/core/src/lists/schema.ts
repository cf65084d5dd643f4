import { z } from 'zod'
import { boundedArray, boundedRecord } from '../json/bounded-schema.js'
import { MAX_PROBLEMS } from '../json/problems.js'

const identifier = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"')

/** Importance classes, least important first; load is shed in this order. */
export const importanceSchema = z.enum(['browse', 'upload', 'claim'])
export type Importance = z.infer<typeof importanceSchema>

/** One operation that a plan may use. */
export const operationSchema = z.strictObject({
  service: identifier,
  method: z.enum(['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path within the service; `:name` matches one segment, a trailing `*` matches the rest. */
  path: z.string().regex(/^\/[^\s?#]*$/, 'start with "/" and leave out query and fragment'),
  importance: importanceSchema,
  /** False when executing the call twice would do harm; such calls need an `Idempotency-Key`. */
  repeatable: z.boolean(),
  /** Time limit of a root request of this operation that states no deadline of its own, in ms. */
  timeoutMs: z.number().int().min(1).max(3_600_000).default(10_000),
  /** Inter-region volume that a customer's calls may use, in bytes per second; 0 keeps the calls in their region. */
  interRegionBytesPerSecond: z.number().int().min(0).default(0)
})
export type Operation = z.infer<typeof operationSchema>

/** Rate, burst and operations allowed to each customer on a plan. */
export const planSchema = z.strictObject({
  /** Requests per second that one customer may send, in sum over all nodes. */
  ratePerSecond: z.number().positive().max(1_000_000),
  /** Requests that one customer may send at once, beyond the steady rate. */
  burst: z.number().int().min(1).max(1_000_000),
  operations: boundedArray(operationSchema, z.array(z.unknown()).max(1000))
})
export type Plan = z.infer<typeof planSchema>

/** The two lists that operators edit. */
export const listsSchema = z.strictObject({
  customers: boundedRecord(identifier, identifier),
  plans: boundedRecord(identifier, planSchema)
}).superRefine((lists, ctx) => {
  // Lists of many entries must not cost an object for each of them.
  const isFull = () => ctx.issues.length >= MAX_PROBLEMS
  for (const [customer, plan] of Object.entries(lists.customers)) {
    if (isFull()) return
    if (!Object.hasOwn(lists.plans, plan)) {
      ctx.addIssue({ code: 'custom', path: ['customers', customer], message: `plan "${plan}" is not in the plans list; add it or change the customer` })
    }
  }
  for (const [name, plan] of Object.entries(lists.plans)) {
    if (isFull()) return
    const seen = new Set<string>()
    plan.operations.forEach((op, i) => {
      const key = operationKey(op)
      if (seen.has(key)) {
        ctx.addIssue({ code: 'custom', path: ['plans', name, 'operations', i], message: `operation "${key}" is listed twice; remove one entry` })
      }
      seen.add(key)
      if (op.repeatable === false && (op.method === 'GET' || op.method === 'HEAD' || op.method === 'OPTIONS')) {
        ctx.addIssue({
          code: 'custom',
          path: ['plans', name, 'operations', i, 'repeatable'],
          message: `${op.method} is a safe method and always repeatable; set repeatable to true or change the method`
        })
      }
    })
  }
})
export type Lists = z.infer<typeof listsSchema>

/** The lists with their revision, assigned when an edit is accepted; revision 0 is empty. */
export const listsDocumentSchema = z.strictObject({ revision: z.number().int().min(0), lists: listsSchema })
export type ListsDocument = z.infer<typeof listsDocumentSchema>

/** Lists before the first accepted edit. */
export const EMPTY_DOCUMENT: ListsDocument = { revision: 0, lists: { customers: {}, plans: {} } }

/** Identifies an operation within a plan: `METHOD service path`. */
export function operationKey (op: Pick<Operation, 'service' | 'method' | 'path'>): string {
  return `${op.method} ${op.service} ${op.path}`
}
