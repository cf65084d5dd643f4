import { z } from 'zod'

/** Schema of an edit request. The lists are validated separately, so that an edit with invalid lists is audited. */
export const editInputSchema = z.strictObject({
  editId: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{7,63}$/, 'use 8 to 64 letters, digits, ".", "_" or "-"; a UUID is best'),
  baseRevision: z.number().int().min(0),
  lists: z.unknown()
})
export type EditInput = z.infer<typeof editInputSchema>
