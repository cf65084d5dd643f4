import { appendFileSync } from 'node:fs'

/** Appends a value as one line of JSON. */
export function appendJsonLine (file: string, value: unknown): void {
  appendFileSync(file, `${JSON.stringify(value)}\n`)
}
