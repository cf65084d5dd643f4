/** Exit codes of `orioleslipd`; docs/settings.md lists them for operators. */
export const EXIT = {
  /** Planned stop, or the settings are valid (`--check`). */
  ok: 0,
  /** Second signal during a planned stop, or an unexpected failure. */
  interrupted: 1,
  /** Wrong settings or command line. */
  usage: 2,
  /** The settings are valid, but the process can't start: a port is taken or the data folder can't be used. */
  startFailed: 3
} as const
