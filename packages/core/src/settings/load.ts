import { err, ok, type Result } from 'neverthrow'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'

/** A settings or list file that can't be used; `message` names the file, the key and the remedy. */
export type FileProblem = { kind: 'fileProblem', file: string, message: string }

/** Parses TOML text and validates it against a schema. The error message lists every problem found, one per line. */
export function parseToml<Schema extends z.ZodType> (file: string, text: string, schema: Schema): Result<z.infer<Schema>, FileProblem> {
  const problem = (message: string) => err({ kind: 'fileProblem' as const, file, message })
  let raw: unknown
  try {
    raw = parse(text)
  } catch (cause) {
    if (cause instanceof TomlError) return problem(`${file}:${cause.line}:${cause.column}: not valid TOML: ${cause.message.split('\n')[0]}`)
    throw cause
  }
  const res = schema.safeParse(raw)
  if (res.success) return ok(res.data)
  const lines = res.error.issues.map((issue) => `${file}: ${describe(issue)}`)
  return problem(lines.join('\n'))
}

function describe (issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String).join('.')
  const where = path === '' ? 'top level' : path
  if (issue.code === 'unrecognized_keys') return `${where}: unknown key ${issue.keys.map((k) => `"${k}"`).join(', ')}; remove it or correct its name`
  return `${where}: ${issue.message}`
}
