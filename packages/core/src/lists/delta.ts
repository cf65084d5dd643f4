import { createHash } from 'node:crypto'
import type { Lists, ListsDocument, Plan } from './schema.js'

/** One entry of a list before and after an edit; an absent value means that the entry did not exist. */
export type ListChange =
  | { list: 'customers', name: string, from?: string, to?: string }
  | { list: 'plans', name: string, from?: Plan, to?: Plan }

/** Difference between a revision and the next one. `digest` is that of the lists at `to`. */
export type ListsDelta = { from: number, to: number, digest: string, changes: ListChange[] }

/** JSON with sorted object keys, so that equal values give equal text. */
export function canonicalJson (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map((item) => canonicalJson(item ?? null)).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const fields = Object.entries(value).filter(([, item]) => item !== undefined).sort(([a], [b]) => (a < b ? -1 : 1))
  return `{${fields.map(([name, item]) => `${JSON.stringify(name)}:${canonicalJson(item)}`).join(',')}}`
}

/** SHA-256 of the lists in canonical form, in hex. */
export function listsDigest (lists: Lists): string {
  return createHash('sha256').update(canonicalJson(lists)).digest('hex')
}

function changedEntries<T> (before: Record<string, T>, after: Record<string, T>): Array<{ name: string, from?: T, to?: T }> {
  const old = new Map(Object.entries(before))
  const changes: Array<{ name: string, from?: T, to?: T }> = []
  for (const [name, to] of Object.entries(after)) {
    const from = old.get(name)
    old.delete(name)
    if (from === undefined) changes.push({ name, to })
    else if (canonicalJson(from) !== canonicalJson(to)) changes.push({ name, from, to })
  }
  for (const [name, from] of old) changes.push({ name, from })
  return changes.sort((a, b) => (a.name < b.name ? -1 : 1))
}

/** Changes that turn `before` into `after`, sorted by list and name. */
export function diffLists (before: Lists, after: Lists): ListChange[] {
  return [
    ...changedEntries(before.customers, after.customers).map((change) => ({ list: 'customers' as const, ...change })),
    ...changedEntries(before.plans, after.plans).map((change) => ({ list: 'plans' as const, ...change }))
  ]
}

/** Applies a delta to the revision it starts from; undefined when the revision or the digest of the result does not match. */
export function applyDelta (doc: ListsDocument, delta: ListsDelta): ListsDocument | undefined {
  if (delta.from !== doc.revision) return undefined
  const customers = new Map(Object.entries(doc.lists.customers))
  const plans = new Map(Object.entries(doc.lists.plans))
  for (const change of delta.changes) {
    switch (change.list) {
      case 'customers':
        if (change.to === undefined) customers.delete(change.name)
        else customers.set(change.name, change.to)
        break
      case 'plans':
        if (change.to === undefined) plans.delete(change.name)
        else plans.set(change.name, change.to)
        break
    }
  }
  const lists = { customers: Object.fromEntries(customers), plans: Object.fromEntries(plans) }
  return listsDigest(lists) === delta.digest ? { revision: delta.to, lists } : undefined
}
