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
      else for (const issue of parsed.error.issues) ctx.addIssue({ ...issue, path: [i, ...issue.path] })
      if (ctx.issues.length >= MAX_PROBLEMS) break
    }
    return items
  })
}
