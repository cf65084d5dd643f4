import { readFileSync } from 'node:fs'
import { parseToml, settingsSchema, type FileProblem, type Settings } from '@orioleslip/core'
import { err, type Result } from 'neverthrow'

/** Reads and validates a settings file. */
export function loadSettings (file: string): Result<Settings, FileProblem> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? String(cause)
    return err({ kind: 'fileProblem', file, message: `${file}: cannot read the file (${code}); check the path and its permissions` })
  }
  return parseToml(file, text, settingsSchema)
}
