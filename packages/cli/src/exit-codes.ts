/** Exit codes of `orioleslip`; `orioleslip --help` lists them. */
export const EXIT = {
  ok: 0,
  /** Unexpected failure. */
  failed: 1,
  /** Wrong command line, settings or list files; or the control VM rejected the edit as invalid. */
  usage: 2,
  /** Another edit was accepted first. */
  conflict: 3,
  /** No control VM could execute the command; nothing was changed. */
  unavailable: 4,
  /** The reply was lost; repeating the command with the same edit id returns the outcome. */
  unknown: 5,
  /** The operator's name or key was refused. */
  denied: 6,
  /** The audit trail is broken, or differs between control VMs. */
  auditBroken: 7,
  /** `--wait` ended before all nodes had the revision. */
  lagging: 8
} as const

export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Failure of a command; `message` states the remedy, `json` holds further fields of the `--json` output. */
export type CliError = { exitCode: ExitCode, message: string, json?: object }

/** Output of a command: `text` by default, `json` with `--json`. */
export type Output = { text: string, json: unknown, exitCode?: ExitCode }
