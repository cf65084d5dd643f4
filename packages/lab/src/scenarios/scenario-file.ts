import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { parse } from 'smol-toml'
import { scenarioSchema, type Scenario } from './schema.js'

/** Parses the text of a scenario file; the error names each field and what to change. */
export function parseScenario (text: string): Result<Scenario, Error> {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (cause) {
    return err(new Error(`the scenario is not valid TOML: ${cause instanceof Error ? cause.message : String(cause)}`))
  }
  const parsed = scenarioSchema.safeParse(raw)
  if (parsed.success) return ok(parsed.data)
  const lines = parsed.error.issues.map((issue) => `  ${issue.path.join('.') || 'file'}: ${issue.message}`)
  return err(new Error(`the scenario has ${lines.length} problem(s):\n${lines.join('\n')}`))
}

/** Reads and parses a scenario file; the error names the file. */
export function loadScenario (file: string): Result<Scenario, Error> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    return err(new Error(`cannot read the scenario "${file}"; check the path (${cause instanceof Error ? cause.message : String(cause)})`))
  }
  return parseScenario(text).mapErr((error) => new Error(`${file}: ${error.message}`))
}
