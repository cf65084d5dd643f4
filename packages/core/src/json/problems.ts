import type { z } from 'zod'

// Limits on the problems of a value from outside that are kept and sent back; whoever sends more has to review all of it anyway.
/** Most problems that are listed. */
export const MAX_PROBLEMS = 20
const MAX_PROBLEM_CHARS = 300

/** Describes the first problems of a value, one for each element, each with its place in the value. */
export function describeProblems (error: z.ZodError): string[] {
  return error.issues.slice(0, MAX_PROBLEMS).map(({ path, message }) =>
    (path.length === 0 ? message : `${path.map(String).join('.')}: ${message}`).slice(0, MAX_PROBLEM_CHARS))
}
