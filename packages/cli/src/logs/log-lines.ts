import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { EXIT, type CliError } from '../exit-codes.js'

/** Fields of a log line that `explain` reads; docs/logs.md lists all fields of each event. */
const lineSchema = z.looseObject({
  /** Unix time, in ms. */
  time: z.number(),
  /** VM that wrote the line. */
  vm: z.string(),
  event: z.string(),
  /** Number of lines of this event that were suppressed before this one. */
  leftOut: z.number().optional(),
  requestId: z.string().optional(),
  /** VM that the line is about, if it is another one than `vm`. */
  vmId: z.string().optional(),
  revision: z.number().optional(),
  attempts: z.array(z.looseObject({ vmId: z.string(), result: z.string() })).optional(),
  msg: z.string().optional()
})

/** One line of a process log. */
export type LogLine = z.infer<typeof lineSchema>

/** Parses the JSON object in a line of text; log collectors often prepend a time and a host. */
function parseLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Reads log files and sorts their lines by time. Lines of other programs and truncated lines are skipped and counted. */
export function readLogs (files: readonly string[]): Result<{ lines: LogLine[], skipped: number }, CliError> {
  const lines: LogLine[] = []
  let skipped = 0
  for (const file of files) {
    let text: string
    try {
      text = readFileSync(file, 'utf8')
    } catch (cause) {
      return err({ exitCode: EXIT.usage, message: `can't read the log file: ${cause instanceof Error ? cause.message : String(cause)}; check --logs` })
    }
    for (const row of text.split('\n')) {
      const line = parseLine(row)
      if (line !== undefined) lines.push(line)
      else if (row.trim() !== '') skipped++
    }
  }
  lines.sort((a, b) => a.time - b.time)
  return ok({ lines, skipped })
}
