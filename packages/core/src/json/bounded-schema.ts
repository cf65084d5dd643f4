import { z } from 'zod'
import { MAX_PROBLEMS } from './problems.js'

/**
 * Schema of an array whose check stops at `MAX_PROBLEMS` problems, and begins once the number of its elements is one that `size` allows.
 * An array of Zod keeps an object for each problem of each element, which takes hundreds of times the text.
 */
export function boundedArray<Item extends z.ZodType> (item: Item, size: z.ZodArray = z.array(z.unknown())) {
  return size.transform((elements, ctx): Array<z.output<Item>> => {
    const items: Array<z.output<Item>> = []
    for (const [i, element] of elements.entries()) {
      const parsed = item.safeParse(element)
      if (parsed.success) items.push(parsed.data)
      else addProblems(ctx, i, parsed.error)
      if (ctx.issues.length >= MAX_PROBLEMS) break
    }
    return items
  })
}

/** Schema of a record whose check stops at `MAX_PROBLEMS` problems, as that of `boundedArray` does. */
export function boundedRecord<Value extends z.ZodType> (key: z.ZodType<string>, value: Value) {
  return z.record(z.string(), z.unknown()).transform((record, ctx): Record<string, z.output<Value>> => {
    const entries: Array<[string, z.output<Value>]> = []
    for (const [name, content] of Object.entries(record)) {
      const parsedName = key.safeParse(name)
      const parsed = value.safeParse(content)
      if (!parsedName.success) addProblems(ctx, name, parsedName.error)
      if (!parsed.success) addProblems(ctx, name, parsed.error)
      if (parsedName.success && parsed.success) entries.push([parsedName.data, parsed.data])
      if (ctx.issues.length >= MAX_PROBLEMS) break
    }
    return Object.fromEntries(entries)
  })
}

function addProblems (ctx: z.RefinementCtx, place: string | number, error: z.ZodError): void {
  for (const issue of error.issues) ctx.addIssue({ ...issue, path: [place, ...issue.path] })
}
