/** Exit codes of `orioleslip`; `orioleslip --help` lists them. */
export const EXIT = {
  ok: 0,
  /** Unexpected failure. */
  failed: 1,
  /** Wrong command line, settings or list files; or the control VM called the edit invalid. */
  usage: 2,
  /** Another edit came first. */
  conflict: 3,
  /** No control VM could do it now; nothing was changed. */
  unavailable: 4,
  /** The answer was lost; the same command with the same edit id tells the outcome. */
  unknown: 5,
  /** The operator's name or key was refused. */
  denied: 6,
  /** The audit trail is broken, or differs between control VMs. */
  auditBroken: 7,
  /** `--wait` ended before all nodes had the revision. */
  lagging: 8
} as const

export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Failure of a command; `message` names the remedy. */
export type CliError = { exitCode: ExitCode, message: string, json?: object }

/** Result of a command: text for people, `json` for `--json`. */
export type Output = { text: string, json: unknown, exitCode?: ExitCode }
