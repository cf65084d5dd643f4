import { existsSync, readFileSync } from 'node:fs'
import { parseToml } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { EXIT, type CliError } from './exit-codes.js'

const authority = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'use address:port, for example 10.0.0.1:7000 or [fd00::1]:7000')

const fileSchema = z.strictObject({
  operator: z.string().optional(),
  key: z.string().min(16, 'use at least 16 characters').optional(),
  /** `address:port` of the control VMs, as in their settings. */
  controls: z.array(authority).optional(),
  /** `address:port` of the caller listeners of nodes, for `explain`. */
  nodes: z.array(authority).optional()
})

/** Addresses of the control VMs and nodes, and the name and key of the operator. */
export type ClientSettings = { controls: string[], operator: string, key: string, nodes: string[] }

/** Options of every command: settings file, control VMs and operator name. */
export type ConnectionOptions = { config?: string, control?: string[], operator?: string }

export const DEFAULT_CONFIG_FILE = 'orioleslip.toml'

/**
 * Merges flags, environment and file, in this order of precedence. The key comes from the environment or the file only, because
 * other users can see the command line.
 */
export function loadClientSettings (options: ConnectionOptions, env: NodeJS.ProcessEnv): Result<ClientSettings, CliError> {
  const fail = (message: string) => err<ClientSettings, CliError>({ exitCode: EXIT.usage, message })
  const namedPath = options.config ?? env.ORIOLESLIP_CONFIG
  const path = namedPath ?? DEFAULT_CONFIG_FILE
  let file: z.infer<typeof fileSchema> = {}
  if (namedPath !== undefined || existsSync(path)) {
    let text: string
    try {
      text = readFileSync(path, 'utf8')
    } catch (cause) {
      return fail(`${path}: cannot read the file (${(cause as NodeJS.ErrnoException).code ?? String(cause)}); check the path`)
    }
    const parsed = parseToml(path, text, fileSchema)
    if (parsed.isErr()) return fail(parsed.error.message)
    file = parsed.value
  }
  const fromEnv = env.ORIOLESLIP_CONTROLS?.split(',').map((part) => part.trim()).filter((part) => part !== '')
  const controls = options.control ?? fromEnv ?? file.controls ?? []
  const invalidControl = controls.find((control) => !authority.safeParse(control).success)
  if (invalidControl !== undefined) return fail(`"${invalidControl}" is not an address; use address:port, for example 10.0.0.1:7000`)
  const operator = options.operator ?? env.ORIOLESLIP_OPERATOR ?? file.operator
  const key = env.ORIOLESLIP_KEY ?? file.key
  if (controls.length === 0) return fail(`no control VM is named; use --control, ORIOLESLIP_CONTROLS or "controls" in ${path}`)
  if (operator === undefined) return fail(`no operator is named; use --operator, ORIOLESLIP_OPERATOR or "operator" in ${path}`)
  if (key === undefined) return fail(`no operator key is set; use ORIOLESLIP_KEY or "key" in ${path}`)
  return ok({ controls, operator, key, nodes: file.nodes ?? [] })
}
